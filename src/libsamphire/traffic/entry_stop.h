#ifndef TRAFFIC_ENTRY_STOP_H_
#define TRAFFIC_ENTRY_STOP_H_

#include <atomic>
#include <mutex>
#include <optional>

#include "base/cancel_signal.h"
#include "base/clock_source.h"
#include "traffic/stop_schedule.h"

namespace samphire {

// The planned stop of an entry as its threads see it. Thread-safe.
class entry_stop {
 public:
  // Begins the stop, or changes the times of one that has begun.
  void Plan(const stop_schedule& schedule);
  bool begun() const { return begun_; }
  // Nothing before the stop.
  std::optional<stop_schedule> schedule() const;

  // Whether a request that has this deadline, and was not sent to a target yet,
  // can be answered before the stop breaks off what runs.
  bool CanKeep(time_point deadline) const {
    return deadline <= keep_until_.load();
  }
  // Breaks off the exchanges that still run, which fail with kCutByStop.
  void Cut() { cut_.Cancel(); }
  const cancel_signal& cut() const { return cut_; }

 private:
  mutable std::mutex lock_;
  std::optional<stop_schedule> schedule_;
  std::atomic<bool> begun_ = false;
  std::atomic<time_point> keep_until_ = time_point::max();
  cancel_signal cut_;
};

}  // namespace samphire

#endif  // TRAFFIC_ENTRY_STOP_H_
