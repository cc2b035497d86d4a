#ifndef DECISIONS_OUTCOME_COUNTER_H_
#define DECISIONS_OUTCOME_COUNTER_H_

#include "decision/refusal.h"
#include "decisions/run_report.h"
#include "decisions/simulated_request.h"

namespace samphire {

// Counts the outcomes of a run's requests in its report, by group. Requests
// that arrive before `count_from` are left out: in the first tenth of a run the
// dispatchers' estimates are still warming up. Single-threaded; `report` must
// outlive it.
class outcome_counter {
 public:
  outcome_counter(run_report& report, time_point count_from)
      : report_(report), count_from_(count_from) {}

  // Each request arrives once and then is either refused, or started and ended.
  // `in_time`: whether it ended by its deadline.
  void OnArrival(const simulated_request& request);
  void OnStart(const simulated_request& request, time_point now);
  void OnEnd(const simulated_request& request, bool in_time, time_point now);
  void OnRefusal(const simulated_request& request, result_code reason);

 private:
  // Calls `visit` with each group of the report that the request belongs to.
  template <typename F>
  void ForEachGroup(const simulated_request& request, const F& visit);

  run_report& report_;
  time_point count_from_;
};

}  // namespace samphire

#endif  // DECISIONS_OUTCOME_COUNTER_H_
