#ifndef DECISIONS_DIRECT_REGION_H_
#define DECISIONS_DIRECT_REGION_H_

#include <deque>
#include <random>
#include <vector>

#include "decisions/event_queue.h"
#include "decisions/outcome_counter.h"
#include "decisions/scenario.h"
#include "decisions/workload.h"

namespace samphire {

// Simulates the baseline strategies without admission control: a central queue
// for all slots, or entries that send each request straight to a target chosen
// round-robin or at random, which queues it. A request that can no longer end
// by its deadline when it reaches the head of the queue is refused as expired.
// Single-threaded, driven by the event queue. Keeps references to all
// constructor arguments.
class direct_region {
 public:
  direct_region(const scenario& input,
                event_queue& events,
                outcome_counter& results,
                run_report& report);

  // Queues the request and starts it at once if a slot is free.
  void HandleArrival(const request_ptr& request);

 private:
  // A FIFO queue in front of a number of equal slots.
  struct service_queue {
    std::deque<request_ptr> waiting;
    std::uint32_t running = 0;
    std::uint32_t slots = 0;
    // How many times as long as usual a request takes here.
    double time_factor = 1;
  };

  // The one queue, the entry's next in turn, or a random one, by strategy.
  service_queue& PickQueue(const simulated_request& request);
  void StartQueuedRequests(service_queue& queue);

  const scenario& input_;
  event_queue& events_;
  outcome_counter& results_;
  run_report& report_;
  std::mt19937_64 random_;
  std::vector<service_queue> queues_;
  // By entry: the queue of its next request under round-robin, before the
  // modulus.
  std::vector<std::size_t> next_queue_;
};

}  // namespace samphire

#endif  // DECISIONS_DIRECT_REGION_H_
