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

// What runs for one test: the platform, entries and targets of a plan, as real
// processes that end with this object.
class fleet {
 public:
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
  // The process of a region's targets, "east" or "west".
  child_process& targets(const std::string& region);

  // Starts an entry anew, as on a replaced instance.
  void StartEntry(std::size_t i);
  // What the platform's list says of an entry; "gone" takes it off.
  void SetInstance(std::size_t i, const std::string& state);
  // Sets faults of the platform, such as {"down":true}.
  void SetFaults(const std::string& faults);
  http_reply Operate(std::size_t i,
                     const std::string& method,
                     const std::string& path,
                     const std::string& body = "");
  // Asks for a declaration to be brought into force through an entry.
  http_reply Apply(std::size_t i,
                   const declaration& wanted,
                   const std::string& apply_id,
                   const std::string& more = "");
  // The version that an entry says is in force; -1 without an answer.
  std::int64_t ConfigVersion(std::size_t i) const;
  bool Ready(std::size_t i) const;
  // Whether a request sent to an entry is run by some target.
  bool Serves(std::size_t i) const;

  // Starts callers of a scenario that know the first entry of each region.
  std::unique_ptr<child_process> StartLoad(const std::string& scenario);
  // Adds what the test did to the history.
  void Note(const history_event& event);
  std::vector<history_event> History() const;
  // How many answers of a kind callers have had so far.
  std::size_t CountAnswers(answer_body body) const;
  // Waits until callers have had `more` further whole answers.
  bool MoreWhole(std::size_t more) const;

 private:
  std::string File(const std::string& name) const;
  void Write(const std::string& name, const std::string& text) const;
  void StartTargets(const std::string& region);

  fleet_plan plan_;
  std::string directory_;
  std::unique_ptr<history_writer> notes_;
  std::unique_ptr<child_process> platform_;
  std::vector<std::unique_ptr<child_process>> entries_;
  std::vector<std::unique_ptr<child_process>> targets_;
};

// Fails the test case with the findings of all rules but those named.
// Times are set so wide that only a hang breaks them: how fast a refusal comes
// is measured by benchmarks, not by a shared CI machine.
void CheckClean(const std::vector<history_event>& history,
                const std::vector<std::string>& but = {});
// Whether a rule found anything to judge.
bool Judged(const std::vector<history_event>& history, const std::string& rule);

}  // namespace samphire

#endif  // TESTS_PROCESS_FLEET_H_
