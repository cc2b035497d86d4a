#include "history/history_index.h"

namespace samphire {

history_index::history_index(const std::vector<history_event>& events)
    : events_(events) {
  for (const auto* target : All<target_declared>())
    targets_[target->target] = *target;
  for (const auto* sent : All<request_sent>())
    requests_[sent->id].sent = *sent;
  for (const auto* answer : All<request_answered>()) {
    const auto found = requests_.find(answer->id);
    if (found != requests_.end())
      found->second.answer = answer;
  }
  for (const auto* start : All<run_started>()) {
    runs_[start->run].start = *start;
    const auto found = requests_.find(start->request_id);
    if (found != requests_.end())
      found->second.runs.push_back(start->run);
  }
  for (const auto* end : All<run_ended>()) {
    const auto found = runs_.find(end->run);
    if (found != runs_.end())
      found->second.end = end;
  }
}

}  // namespace samphire
