#include "decisions/direct_region.h"

#include <algorithm>
#include <chrono>

namespace samphire {

direct_region::direct_region(const scenario& input,
                             event_queue& events,
                             outcome_counter& results,
                             run_report& report)
    : input_(input),
      events_(events),
      results_(results),
      report_(report),
      random_(input.seed + 4),
      next_queue_(workload::kEntries) {
  if (input.strategy == strategy::kCentralQueue) {
    queues_.resize(1);
    queues_[0].slots = workload::kSlots;
    return;
  }
  queues_.resize(workload::kTargets);
  for (auto& each : queues_)
    each.slots = workload::kSlotsPerTarget;
  queues_[0].time_factor = input.slow_factor;
  // Each entry begins its round at another target, so that the entries do not
  // all load the same target at a time.
  for (std::size_t i = 0; i < next_queue_.size(); ++i)
    next_queue_[i] = i;
}

void direct_region::HandleArrival(const request_ptr& request) {
  results_.OnArrival(*request);
  auto& queue = PickQueue(*request);
  queue.waiting.push_back(request);
  StartQueuedRequests(queue);
}

direct_region::service_queue& direct_region::PickQueue(
    const simulated_request& request) {
  if (queues_.size() == 1)
    return queues_[0];
  if (input_.strategy == strategy::kRoundRobin)
    return queues_[next_queue_[request.entry]++ % queues_.size()];
  std::uniform_int_distribution<std::size_t> draw(0, queues_.size() - 1);
  return queues_[draw(random_)];
}

void direct_region::StartQueuedRequests(service_queue& queue) {
  while (queue.running < queue.slots && !queue.waiting.empty()) {
    const auto request = queue.waiting.front();
    queue.waiting.pop_front();
    const auto run_time = std::chrono::duration_cast<duration>(
        request->slot_time * queue.time_factor);
    if (events_.now() + run_time > request->deadline) {
      results_.OnRefusal(*request, result_code::kQueueExpired);
      continue;
    }
    results_.OnStart(*request, events_.now());
    report_.max_on_target = std::max(report_.max_on_target, ++queue.running);
    events_.After(run_time, [this, &queue, request] {
      --queue.running;
      results_.OnEnd(*request, true, events_.now());
      StartQueuedRequests(queue);
    });
  }
}

}  // namespace samphire
