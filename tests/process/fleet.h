#ifndef TESTS_PROCESS_FLEET_H_
#define TESTS_PROCESS_FLEET_H_

#include <memory>
#include <string>
#include <vector>

#include "fleet_plan.h"
#include "history/history_judge.h"
#include "history/history_writer.h"
#include "http_call.h"
#include "support/child_process.h"

namespace samphire {

// A deployment for one test: the platform, entries and targets of a plan as
// real processes, which are killed when this object is destroyed. Files are in
// a temporary directory that is removed unless SAMPHIRE_KEEP_TEST_FILES is set.
// Used by the test's thread; Apply and the other HTTP calls may also run
// concurrently on other threads.
class fleet {
 public:
  // Starts all processes, applies the plan's declaration and waits until every
  // entry serves requests. Throws std::runtime_error if that fails.
  explicit fleet(fleet_plan plan);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  const fleet_plan& plan() const { return plan_; }
  child_process& platform() { return *platform_; }
  child_process& entry(std::size_t i) { return *entries_[i]; }
  const entry_settings& settings(std::size_t i) const {
    return plan_.entries[i];
  }
  // The process that simulates the targets of a region, "east" or "west".
  child_process& targets(const std::string& region);

  // Starts an entry, or kills and restarts it as on a replaced instance.
  void StartEntry(std::size_t i);
  // Sets the state of an entry in the platform's instance list, such as "live";
  // "gone" removes it from the list.
  void SetInstanceState(std::size_t i, const std::string& state);
  // Sets faults of the platform, as JSON such as {"down":true}.
  void SetFaults(const std::string& faults);
  // Calls the operator API of an entry with the operator token.
  http_reply CallOperatorApi(std::size_t i,
                             const std::string& method,
                             const std::string& path,
                             const std::string& body = "");
  // Applies a declaration through an entry. `apply_id` identifies the change
  // across retries; `extra_query` is appended to the URL's query,
  // "&NAME=VALUE".
  http_reply Apply(std::size_t i,
                   const declaration& wanted,
                   const std::string& apply_id,
                   const std::string& extra_query = "");
  // Returns the configuration version that an entry reports as in force; -1 if
  // it does not respond.
  std::int64_t ConfigVersion(std::size_t i) const;
  // Returns whether an entry reports that it is ready.
  bool Ready(std::size_t i) const;
  // Sends a request to an entry and returns whether a target has served it.
  bool CanServeRequest(std::size_t i) const;

  // Starts a load generator for a scenario, given as JSON. Its callers are
  // configured with the first entry of each region.
  std::unique_ptr<child_process> StartLoad(const std::string& scenario);
  // Appends an action of the test to the history.
  void RecordEvent(const history_event& event);
  // Returns the events of all processes so far, with the declared shift caps.
  std::vector<history_event> History() const;
  // Returns the number of responses of a kind that callers have received so
  // far.
  std::size_t CountResponses(answer_body body) const;
  // Waits until callers have received `additional` further complete responses.
  // Returns false if they don't within the limit of WaitUntil.
  bool WaitForCompleteResponses(std::size_t additional) const;

 private:
  // Returns the path of a file in the temporary directory.
  std::string File(const std::string& name) const;
  void Write(const std::string& name, const std::string& text) const;
  void StartTargets(const std::string& region);

  fleet_plan plan_;
  std::string directory_;
  std::unique_ptr<history_writer> test_events_;
  std::unique_ptr<child_process> platform_;
  std::vector<std::unique_ptr<child_process>> entries_;
  std::vector<std::unique_ptr<child_process>> targets_;
};

// Checks a history against all rules except the excluded ones, and fails the
// test case with the violations. Time limits are so wide that only a hang
// exceeds them: the latency of refusals is measured by benchmarks, not on a
// shared CI machine.
void CheckNoViolations(const std::vector<history_event>& history,
                       const std::vector<std::string>& excluded_rules = {});
// Returns whether the history contains any event to which a rule applies, so
// that a test can't pass because nothing happened.
bool RuleApplied(const std::vector<history_event>& history,
                 const std::string& rule);

}  // namespace samphire

#endif  // TESTS_PROCESS_FLEET_H_
