#ifndef PEER_ANSWER_WAITER_H_
#define PEER_ANSWER_WAITER_H_

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "base/clock_source.h"

namespace samphire {

// Passes answers received as datagrams to the threads that wait for them.
// `Context` describes a question, so that an answer that arrives after the
// timeout can still be handled. Thread-safe.
template <typename Answer, typename Context>
class answer_waiter {
 public:
  void Expect(std::uint64_t id, Context context) {
    std::lock_guard guard(lock_);
    questions_[id].context = std::move(context);
  }

  // Blocks until the answer arrives or `wait` has passed.
  std::optional<Answer> Await(std::uint64_t id, milliseconds wait) {
    std::unique_lock guard(lock_);
    answered_.wait_for(guard, wait,
                       [&] { return questions_.at(id).answer.has_value(); });
    auto asked = questions_.extract(id);
    if (!asked.mapped().answer) {
      given_up_.emplace(id, std::move(asked.mapped().context));
      if (given_up_.size() > kMaxGivenUp)
        given_up_.erase(given_up_.begin());
    }
    return std::move(asked.mapped().answer);
  }

  // Returns the context of the question if its wait has timed out, at most once
  // per question.
  std::optional<Context> Deliver(std::uint64_t id, Answer answer) {
    std::lock_guard guard(lock_);
    const auto asked = questions_.find(id);
    if (asked != questions_.end()) {
      asked->second.answer = std::move(answer);
      answered_.notify_all();
      return std::nullopt;
    }
    auto late = given_up_.extract(id);
    if (late.empty())
      return std::nullopt;
    return std::move(late.mapped());
  }

 private:
  struct question {
    Context context;
    std::optional<Answer> answer;
  };

  // Bounds the memory for questions that are never answered.
  static constexpr std::size_t kMaxGivenUp = 256;

  std::mutex lock_;
  std::condition_variable answered_;
  std::map<std::uint64_t, question> questions_;
  std::map<std::uint64_t, Context> given_up_;
};

}  // namespace samphire

#endif  // PEER_ANSWER_WAITER_H_
