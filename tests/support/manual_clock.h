#ifndef SUPPORT_MANUAL_CLOCK_H_
#define SUPPORT_MANUAL_CLOCK_H_

#include <atomic>

#include "base/clock_source.h"

namespace samphire {

// Clock for tests whose time changes only when Advance is called. Thread-safe.
class manual_clock final : public clock_source {
 public:
  time_point now() const override {
    return time_point(duration(offset_.load())) + std::chrono::hours(1);
  }
  wall_time wall_now() const override {
    return wall_time(std::chrono::hours(24 * 365 * 56)) +
           duration(offset_.load());
  }
  // Moves both the monotonic and the wall time forward.
  void Advance(duration by) { offset_ += by.count(); }

 private:
  std::atomic<duration::rep> offset_{0};
};

}  // namespace samphire

#endif  // SUPPORT_MANUAL_CLOCK_H_
