#ifndef LEDGER_LEDGER_HISTORY_H_
#define LEDGER_LEDGER_HISTORY_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "ledger/faulty_forwarder.h"
#include "ledger/faulty_store.h"
#include "ledger/ledger_fixture.h"

namespace samphire {

// Simulates several entries that reserve and execute requests for a few keys
// over a faulty platform, all on one thread and reproducible by a seed. Records
// what they did and checks it.
class ledger_history {
 public:
  // `disabled` names a safeguard of the platform that is disabled.
  ledger_history(std::uint64_t seed, faulty_store::disabled_guard disabled);

  // Performs `steps` actions, then ends all faults and checks the history.
  void Run(int steps);

  // The violations found; empty if the history is correct.
  const std::set<std::string>& violations() const { return violations_; }
  // Counts of what occurred, to show that the history is not trivial.
  int dispatches() const { return dispatches_; }
  int crashes() const { return crashes_; }
  int replays() const { return replays_; }
  int in_doubt_outcomes() const { return in_doubt_outcomes_; }

 private:
  // One entry; `in_call` is set while it performs an action.
  struct simulated_entry {
    std::unique_ptr<ledger> local_ledger;
    std::uint64_t incarnation = 1;
    bool in_call = false;
  };
  // What happened to one key.
  struct key_history {
    int runs = 0;
    // Bodies of the responses that a surviving entry completed.
    std::set<std::string> responses;
    // Whether an entry crashed before it recorded a response, or marked the
    // reservation unknown.
    bool may_be_in_doubt = false;
  };

  // Starts a process of entry `number`.
  std::unique_ptr<ledger> Open(std::size_t number, std::uint64_t incarnation);
  // Commits a forwarded operation at entry `number`, unless it is in a call.
  std::optional<operation_outcome> CommitAt(const std::string& number,
                                            const ledger_operation& operation);
  void Step();
  // Replaces the entry's process by a new incarnation.
  void Crash(simulated_entry& entry);
  // Executes a reserved request, with random pauses and crashes.
  void RunRequest(simulated_entry& entry,
                  const std::string& key,
                  const reservation_ticket& ticket);
  // Counts the outcome and checks a replayed response.
  void RecordOutcome(const std::string& key,
                     const reservation_outcome& outcome);
  void CheckFinalState();
  // Returns a random number in [0, count).
  int Pick(int count) {
    return std::uniform_int_distribution<>(0, count - 1)(random_);
  }

  std::mt19937_64 random_;
  ledger_fixture fixture_;
  faulty_store store_;
  faulty_forwarder forwarder_;
  const first_entry_router leader_{true};
  const first_entry_router follower_{false};
  std::vector<simulated_entry> entries_;
  std::map<std::string, key_history> keys_;
  std::set<std::string> violations_;
  int depth_ = 0;
  int dispatches_ = 0;
  int crashes_ = 0;
  int replays_ = 0;
  int in_doubt_outcomes_ = 0;
};

}  // namespace samphire

#endif  // LEDGER_LEDGER_HISTORY_H_
