#ifndef HISTORY_HISTORY_INDEX_H_
#define HISTORY_HISTORY_INDEX_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "history/history_event.h"

namespace samphire {

// One run with its end, if it had one.
struct indexed_run {
  run_started start;
  const run_ended* end = nullptr;
};

// One sending with its answer, if it had one.
struct indexed_request {
  request_sent sent;
  const request_answered* answer = nullptr;
  std::vector<std::int64_t> runs{};
};

// A history by what its rules ask for. Keeps references into the events.
class history_index {
 public:
  explicit history_index(const std::vector<history_event>& events);

  const std::vector<history_event>& events() const { return events_; }
  const std::map<std::int64_t, indexed_run>& runs() const { return runs_; }
  const std::map<std::string, indexed_request, std::less<>>& requests() const {
    return requests_;
  }
  const std::map<std::string, target_declared>& targets() const {
    return targets_;
  }

  // All events of one kind, in order.
  template <typename E>
  std::vector<const E*> All() const {
    std::vector<const E*> found;
    for (const auto& event : events_) {
      if (const auto* e = std::get_if<E>(&event))
        found.push_back(e);
    }
    return found;
  }

 private:
  const std::vector<history_event>& events_;
  std::map<std::int64_t, indexed_run> runs_;
  std::map<std::string, indexed_request, std::less<>> requests_;
  std::map<std::string, target_declared> targets_;
};

}  // namespace samphire

#endif  // HISTORY_HISTORY_INDEX_H_
