#ifndef DECISIONS_EVENT_QUEUE_H_
#define DECISIONS_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "base/clock_source.h"

namespace samphire {

// Discrete-event scheduler with a simulated clock. Events run in the order of
// their times, and in the order of scheduling where the times are equal, which
// makes runs reproducible. Single-threaded.
class event_queue {
 public:
  // The simulated time: that of the event which runs or ran last.
  time_point now() const { return now_; }

  // Runs `action` at `when`, or at the present time if that has passed.
  void At(time_point when, std::function<void()> action) {
    events_.push({std::max(when, now_), next_number_++, std::move(action)});
  }
  void After(duration delay, std::function<void()> action) {
    At(now_ + delay, std::move(action));
  }

  // Runs the events up to and including `end`, with those that they schedule.
  // Later events are kept.
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

    // Inverted: std::priority_queue puts the greatest element on top.
    bool operator<(const event& other) const {
      return std::pair(when, number) > std::pair(other.when, other.number);
    }
  };
  std::priority_queue<event> events_;
  // The clock does not start at zero, since some of the simulated code takes a
  // default-constructed time for "never".
  time_point now_{std::chrono::hours(1)};
  std::uint64_t next_number_ = 0;
};

}  // namespace samphire

#endif  // DECISIONS_EVENT_QUEUE_H_
