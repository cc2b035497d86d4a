#ifndef HISTORY_HISTORY_INDEX_H_
#define HISTORY_HISTORY_INDEX_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "history/history_event.h"

namespace samphire {

// A run at a target with its end; null if no end was recorded.
struct indexed_run {
  run_started start;
  const run_ended* end = nullptr;
};

// One attempt of a request with its answer (null if none was recorded) and the
// numbers of its runs at targets.
struct indexed_request {
  request_sent sent;
  const request_answered* answer = nullptr;
  std::vector<std::int64_t> runs{};
};

// Index of a history for the rules. Keeps references into the events, which
// must outlive it and stay unchanged. Immutable after construction, so that
// several threads may read it. An answer or end without its request or run is
// left out.
class history_index {
 public:
  // Expects the events in order of time.
  explicit history_index(const std::vector<history_event>& events);

  const std::vector<history_event>& events() const { return events_; }
  // By run number, request id, and name of the target; of a target that was
  // declared several times the last declaration.
  const std::map<std::int64_t, indexed_run>& runs() const { return runs_; }
  const std::map<std::string, indexed_request, std::less<>>& requests() const {
    return requests_;
  }
  const std::map<std::string, target_declared>& targets() const {
    return targets_;
  }

  // Returns all events of one type, in order.
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
