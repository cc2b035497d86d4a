#ifndef TESTS_HISTORY_HISTORY_BUILDER_H_
#define TESTS_HISTORY_HISTORY_BUILDER_H_

#include <string>
#include <vector>

#include "history/history_event.h"
#include "history/history_judge.h"

namespace samphire {

// Builds a valid history step by step; a test then invalidates one detail of
// it. Arguments named _ms are milliseconds from the start of the history. The
// history starts with the targets s/a in region east and s/b in west, two slots
// each, and a shift cap of 1 from east to west.
class history_builder {
 public:
  // Adds a request that one run at `target` answered completely, with the
  // events of the caller and the target.
  history_builder& Answered(const std::string& id,
                            history_time sent_ms,
                            history_time answered_ms,
                            const std::string& target = "s/a",
                            const std::string& key = "");
  // Adds the start and end of a run at `target`, without a request.
  history_builder& Run(std::int64_t run,
                       const std::string& target,
                       const std::string& id,
                       history_time from_ms,
                       history_time to_ms,
                       const std::string& key = "",
                       run_outcome outcome = run_outcome::kFinished);
  history_builder& Add(history_event event);

  // Returns the first event of a type, for a test to change.
  template <typename E>
  E& First() {
    for (auto& event : events_) {
      if (auto* found = std::get_if<E>(&event))
        return *found;
    }
    throw std::logic_error("no event of this type");
  }

  // Returns the events in order of time.
  std::vector<history_event> events() const;
  // Returns the verdict of one rule, with the default limits.
  rule_verdict Judge(std::string_view rule) const;

 private:
  std::vector<history_event> events_{
      target_declared{.target = "s/a", .region = "east", .slots = 2},
      target_declared{.target = "s/b", .region = "west", .slots = 2},
      cap_declared{.from = "east", .to = "west", .max_in_flight = 1}};
  std::int64_t next_run_ = 100;
};

// Converts milliseconds to the microseconds of event times.
constexpr history_time Ms(history_time ms) {
  return ms * 1000;
}

}  // namespace samphire

#endif  // TESTS_HISTORY_HISTORY_BUILDER_H_
