#ifndef DECISIONS_RECORDER_H_
#define DECISIONS_RECORDER_H_

#include "decision/refusal.h"
#include "decisions/run_report.h"
#include "decisions/simulated_request.h"

namespace samphire {

// Counts what comes of the requests of a run. The first tenth of the run warms
// up estimates and is left out.
class recorder {
 public:
  recorder(run_report& report, time_point count_from)
      : report_(report), count_from_(count_from) {}

  void OnArrival(const simulated_request& request);
  void OnStart(const simulated_request& request, time_point now);
  void OnEnd(const simulated_request& request, bool in_time, time_point now);
  void OnRefusal(const simulated_request& request, result_code reason);

 private:
  template <typename F>
  void ForGroups(const simulated_request& request, const F& visit);

  run_report& report_;
  time_point count_from_;
};

}  // namespace samphire

#endif  // DECISIONS_RECORDER_H_
