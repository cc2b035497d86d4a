#include "decisions/region_run.h"

#include "decisions/direct_region.h"
#include "decisions/dispatched_region.h"
#include "decisions/event_queue.h"
#include "decisions/outcome_counter.h"
#include "decisions/workload.h"

namespace samphire {

namespace {

template <typename Region>
void Run(const scenario& input, event_queue& events, Region& region) {
  workload requests(input, events, [&](const request_ptr& request) {
    region.HandleArrival(request);
  });
  requests.Start();
  events.RunUntil(events.now() + input.length);
}

}  // namespace

run_report RunRegion(const scenario& input) {
  run_report report;
  report.input = input;
  event_queue events;
  const duration warm_up = input.length / 10;
  report.capacity =
      (input.length - warm_up) * static_cast<std::int64_t>(workload::kSlots);
  outcome_counter results(report, events.now() + warm_up);
  const bool direct = input.strategy == strategy::kCentralQueue ||
                      input.strategy == strategy::kRoundRobin ||
                      input.strategy == strategy::kRandom;
  if (!direct) {
    dispatched_region region(input, events, results, report);
    Run(input, events, region);
    region.AddEntryCounts();
  } else {
    direct_region region(input, events, results, report);
    Run(input, events, region);
  }
  return report;
}

}  // namespace samphire
