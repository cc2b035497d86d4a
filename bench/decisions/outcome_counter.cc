#include "decisions/outcome_counter.h"

namespace samphire {

template <typename F>
void outcome_counter::ForEachGroup(const simulated_request& request,
                                   const F& visit) {
  if (request.arrived < count_from_)
    return;
  if (request.rules->kind == request_kind::kBulk) {
    visit(report_.bulk);
    return;
  }
  visit(report_.interactive);
  visit(request.shifted ? report_.shifted : report_.home);
  if (request.rules->priority == priority::kHigh)
    visit(report_.high);
  if (request.rules->priority == priority::kLow)
    visit(report_.low);
}

void outcome_counter::OnArrival(const simulated_request& request) {
  ForEachGroup(request, [](group_report& group) { ++group.arrived; });
}

void outcome_counter::OnStart(const simulated_request& request,
                              time_point now) {
  ForEachGroup(request, [&](group_report& group) {
    ++group.started;
    group.waits.push_back(now - request.arrived);
  });
}

void outcome_counter::OnEnd(const simulated_request& request,
                            bool in_time,
                            time_point now) {
  ForEachGroup(request, [&](group_report& group) {
    group.latencies.push_back(now - request.arrived);
    if (!in_time) {
      ++group.late;
      return;
    }
    ++group.in_time;
    group.useful_slot_time += request.slot_time;
  });
}

void outcome_counter::OnRefusal(const simulated_request& request,
                                result_code reason) {
  ForEachGroup(request, [&](group_report& group) { ++group.refused[reason]; });
}

}  // namespace samphire
