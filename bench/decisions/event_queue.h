#ifndef DECISIONS_EVENT_QUEUE_H_
#define DECISIONS_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "base/clock_source.h"

namespace samphire {

// Simulated time: events run in the order of their times, and of their making
// where the times are equal.
class event_queue {
 public:
  time_point now() const { return now_; }

  void At(time_point when, std::function<void()> action) {
    events_.push({std::max(when, now_), next_number_++, std::move(action)});
  }
  void After(duration delay, std::function<void()> action) {
    At(now_ + delay, std::move(action));
  }

  void RunUntil(time_point end) {
    while (!events_.empty() && events_.top().when <= end) {
      auto action = std::move(const_cast<event&>(events_.top()).action);
      now_ = events_.top().when;
      events_.pop();
      action();
    }
  }

 private:
  struct event {
    time_point when;
    std::uint64_t number = 0;
    std::function<void()> action;

    bool operator<(const event& other) const {
      return std::pair(when, number) > std::pair(other.when, other.number);
    }
  };
  std::priority_queue<event> events_;
  // Not zero: an unset time is taken as "never" in places.
  time_point now_{std::chrono::hours(1)};
  std::uint64_t next_number_ = 0;
};

}  // namespace samphire

#endif  // DECISIONS_EVENT_QUEUE_H_
