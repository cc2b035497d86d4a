#ifndef LEDGER_LEDGER_HISTORY_H_
#define LEDGER_LEDGER_HISTORY_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "ledger/chaos_forwarder.h"
#include "ledger/chaos_store.h"
#include "ledger/ledger_fixture.h"

namespace samphire {

// Several entries that work on a few keys over a faulty platform, all on one
// thread by a seed, and the history of what they did.
class ledger_history {
 public:
  ledger_history(std::uint64_t seed, chaos_store::missing_guard missing);

  // Acts `steps` times, then heals everything and checks the history.
  void Run(int steps);

  // What is wrong with the history; empty when nothing is.
  const std::set<std::string>& violations() const { return violations_; }
  int dispatches() const { return dispatches_; }
  int crashes() const { return crashes_; }
  int replays() const { return replays_; }
  int doubts() const { return doubts_; }

 private:
  struct actor {
    std::unique_ptr<ledger> entry;
    std::uint64_t incarnation = 1;
    bool acting = false;
  };
  struct key_history {
    int runs = 0;
    // Answers of runs that the entry lived to complete.
    std::set<std::string> answers;
    // An entry died with the answer unrecorded, or said that it didn't know.
    bool may_doubt = false;
  };

  std::unique_ptr<ledger> Open(std::size_t number, std::uint64_t incarnation);
  std::optional<operation_outcome> CommitAt(const std::string& number,
                                            const ledger_operation& operation);
  void Act();
  void Crash(actor& subject);
  void RunReserved(actor& subject,
                   const std::string& key,
                   const reservation_ticket& ticket);
  void Judge(const std::string& key, const reservation_outcome& outcome);
  void CheckEnd();
  int Pick(int count) {
    return std::uniform_int_distribution<>(0, count - 1)(random_);
  }

  std::mt19937_64 random_;
  ledger_fixture world_;
  chaos_store store_;
  chaos_forwarder forwarder_;
  const first_leads leader_{true};
  const first_leads follower_{false};
  std::vector<actor> actors_;
  std::map<std::string, key_history> keys_;
  std::set<std::string> violations_;
  int depth_ = 0;
  int dispatches_ = 0;
  int crashes_ = 0;
  int replays_ = 0;
  int doubts_ = 0;
};

}  // namespace samphire

#endif  // LEDGER_LEDGER_HISTORY_H_
