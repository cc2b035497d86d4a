#include "decisions/direct_region.h"

#include <algorithm>
#include <chrono>

namespace samphire {

direct_region::direct_region(const scenario& input,
                             event_queue& events,
                             recorder& results,
                             run_report& report)
    : input_(input),
      events_(events),
      results_(results),
      report_(report),
      random_(input.seed + 4),
      turn_(workload::kEntries) {
  if (input.strategy == strategy::kCentralQueue) {
    servers_.resize(1);
    servers_[0].slots = workload::kSlots;
    return;
  }
  servers_.resize(workload::kTargets);
  for (auto& each : servers_)
    each.slots = workload::kSlotsOfTarget;
  servers_[0].factor = input.slow_factor;
  // Entries don't start in step with each other.
  for (std::size_t i = 0; i < turn_.size(); ++i)
    turn_[i] = i;
}

void direct_region::Arrive(const request_ptr& request) {
  results_.OnArrival(*request);
  auto& at = Pick(*request);
  at.waiting.push_back(request);
  Serve(at);
}

direct_region::server& direct_region::Pick(const simulated_request& request) {
  if (servers_.size() == 1)
    return servers_[0];
  if (input_.strategy == strategy::kRoundRobin)
    return servers_[turn_[request.entry]++ % servers_.size()];
  std::uniform_int_distribution<std::size_t> draw(0, servers_.size() - 1);
  return servers_[draw(random_)];
}

void direct_region::Serve(server& at) {
  while (at.running < at.slots && !at.waiting.empty()) {
    const auto request = at.waiting.front();
    at.waiting.pop_front();
    const auto takes =
        std::chrono::duration_cast<duration>(request->service * at.factor);
    if (events_.now() + takes > request->deadline) {
      results_.OnRefusal(*request, result_code::kQueueExpired);
      continue;
    }
    results_.OnStart(*request, events_.now());
    report_.most_on_target = std::max(report_.most_on_target, ++at.running);
    events_.After(takes, [this, &at, request] {
      --at.running;
      results_.OnEnd(*request, true, events_.now());
      Serve(at);
    });
  }
}

}  // namespace samphire
