#ifndef DECISIONS_DIRECT_REGION_H_
#define DECISIONS_DIRECT_REGION_H_

#include <deque>
#include <random>
#include <vector>

#include "decisions/event_queue.h"
#include "decisions/recorder.h"
#include "decisions/scenario.h"
#include "decisions/workload.h"

namespace samphire {

// The baselines: one queue for all slots, or entries that send each request
// straight to a target, which has a queue of its own. A request that can no
// longer be in time when its turn comes is dropped.
class direct_region {
 public:
  direct_region(const scenario& input,
                event_queue& events,
                recorder& results,
                run_report& report);

  void Arrive(const request_ptr& request);

 private:
  struct server {
    std::deque<request_ptr> waiting;
    std::uint32_t running = 0;
    std::uint32_t slots = 0;
    double factor = 1;
  };

  server& Pick(const simulated_request& request);
  void Serve(server& at);

  const scenario& input_;
  event_queue& events_;
  recorder& results_;
  run_report& report_;
  std::mt19937_64 random_;
  std::vector<server> servers_;
  std::vector<std::size_t> turn_;
};

}  // namespace samphire

#endif  // DECISIONS_DIRECT_REGION_H_
