#ifndef DECISION_LOAD_SHEDDER_H_
#define DECISION_LOAD_SHEDDER_H_

#include <array>

#include "base/clock_source.h"
#include "config/priority.h"

namespace samphire {

// Load shedding by priority: refuses requests of lower priority while the
// measured queue delay shows that there is capacity for the higher ones only.
// Works on interactive requests of one service. Not thread-safe.
class load_shedder {
 public:
  // Reports that a request of this priority has arrived, whether or not it is
  // admitted.
  void OnArrival(priority rank, time_point now);
  // Returns whether a request of this priority may be queued. `draw`, a random
  // number in [0, 1), decides while a part of its priority is shed.
  bool Admits(priority rank, double draw, time_point now);
  // Reports that a request of this priority starts after waiting for `waited`,
  // where work of its kind takes `mean_service` on average.
  void OnStart(priority rank,
               duration waited,
               duration mean_service,
               time_point now);

  // Returns the longest expected wait with which a request may be queued:
  // bounded once the queue has been standing for several intervals, otherwise
  // duration::max().
  duration WaitBound(duration mean_service) const;

  // Shedding level: 0 sheds nothing, 1 all of low, 2 all of low and normal
  // priority; fractions shed part of a priority.
  double level() const { return level_; }
  // Wait of the latest measured request.
  duration delay() const { return last_delay_; }

 private:
  // Evaluates the minimum delay of the measuring interval if it has ended.
  void CloseInterval(time_point now);
  // Whether a request of this priority has arrived recently.
  bool IsActive(priority rank, time_point now) const;
  // Whether a request of a higher priority than this has arrived recently.
  bool IsHigherActive(priority rank, time_point now) const;
  // The priority whose queue delay is measured.
  priority MeasuredPriority(time_point now) const;

  time_point interval_end_;
  duration min_delay_ = duration::max();
  duration last_delay_{0};
  duration target_delay_{0};
  // Intervals with a standing queue, reduced by intervals without one.
  int standing_intervals_ = 0;
  double level_ = 0;
  // When a request of each priority last arrived, indexed by priority.
  std::array<time_point, 3> last_arrival_;
};

}  // namespace samphire

#endif  // DECISION_LOAD_SHEDDER_H_
