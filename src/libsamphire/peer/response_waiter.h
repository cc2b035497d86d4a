#ifndef PEER_RESPONSE_WAITER_H_
#define PEER_RESPONSE_WAITER_H_

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "base/clock_source.h"

namespace samphire {

// Hands responses received as datagrams to the threads that wait for them,
// matched by request id. `Context` describes a request, so that a response that
// arrives after the timeout can still be handled. Thread-safe.
template <typename Response, typename Context>
class response_waiter {
 public:
  // Registers a request. Must be called before the request is sent, since its
  // response may arrive before Await is called.
  void Register(std::uint64_t id, Context context) {
    std::lock_guard guard(lock_);
    pending_[id].context = std::move(context);
  }

  // Blocks until the response to the registered request `id` has arrived or
  // `wait` has passed. Returns nothing after a timeout.
  std::optional<Response> Await(std::uint64_t id, milliseconds wait) {
    std::unique_lock guard(lock_);
    responded_.wait_for(guard, wait,
                        [&] { return pending_.at(id).response.has_value(); });
    auto pending = pending_.extract(id);
    if (!pending.mapped().response) {
      timed_out_.emplace(id, std::move(pending.mapped().context));
      if (timed_out_.size() > kMaxTimedOutRequests)
        timed_out_.erase(timed_out_.begin());
    }
    return std::move(pending.mapped().response);
  }

  // Hands over the response to the request `id`, usually from the receiving
  // thread. Returns the context of the request if its wait has timed out, at
  // most once per request; otherwise nothing. Ignores responses to unknown
  // requests.
  std::optional<Context> Deliver(std::uint64_t id, Response response) {
    std::lock_guard guard(lock_);
    const auto pending = pending_.find(id);
    if (pending != pending_.end()) {
      pending->second.response = std::move(response);
      responded_.notify_all();
      return std::nullopt;
    }
    auto timed_out = timed_out_.extract(id);
    if (timed_out.empty())
      return std::nullopt;
    return std::move(timed_out.mapped());
  }

 private:
  struct pending_request {
    Context context;
    std::optional<Response> response;
  };

  // Number of timed-out requests whose contexts are kept. Bounds the memory for
  // requests that never receive a response; beyond it the context with the
  // lowest id is dropped.
  static constexpr std::size_t kMaxTimedOutRequests = 256;

  std::mutex lock_;
  std::condition_variable responded_;
  std::map<std::uint64_t, pending_request> pending_;
  std::map<std::uint64_t, Context> timed_out_;
};

}  // namespace samphire

#endif  // PEER_RESPONSE_WAITER_H_
