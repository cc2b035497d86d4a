#ifndef DECISION_LOAD_SHEDDER_H_
#define DECISION_LOAD_SHEDDER_H_

#include <array>

#include "base/clock_source.h"
#include "config/priority.h"

namespace samphire {

// Refuses lower priorities when the measured queue delay shows that the load
// leaves room for higher ones only.
class load_shedder {
 public:
  // A request of this priority has come, whatever becomes of it.
  void OnArrival(priority rank, time_point now);
  // Whether one of this priority may wait. `draw` in [0, 1) decides when part
  // of its priority is shed.
  bool Admits(priority rank, double draw, time_point now);
  // How long a request of this priority had waited when it got its slot, where
  // work of its kind takes `mean_service`.
  void OnStart(priority rank,
               duration waited,
               duration mean_service,
               time_point now);

  // The longest expected wait under which requests may queue: bounded once the
  // queue has stood for long.
  duration WaitBound(duration mean_service) const;

  double level() const { return level_; }
  duration delay() const { return last_delay_; }

 private:
  void CloseInterval(time_point now);
  bool SeenLately(priority rank, time_point now) const;
  bool SeenAbove(priority rank, time_point now) const;
  priority MeasuredRank(time_point now) const;

  time_point interval_end_;
  duration least_delay_ = duration::max();
  duration last_delay_{0};
  duration target_delay_{0};
  int standing_intervals_ = 0;
  double level_ = 0;
  // When a request of each priority last came.
  std::array<time_point, 3> seen_;
};

}  // namespace samphire

#endif  // DECISION_LOAD_SHEDDER_H_
