#include "ledger/ledger_history.h"

#include <chrono>

namespace samphire {

namespace {

// Bounds of a history: the number of entries and of keys, and how many calls of
// different entries may be nested.
constexpr int kEntries = 4;
constexpr int kKeys = 12;
constexpr int kMaxDepth = 3;

}  // namespace

ledger_history::ledger_history(std::uint64_t seed,
                               faulty_store::disabled_guard disabled)
    : random_(seed), store_(seed + 1, disabled), forwarder_(seed + 2) {
  for (std::size_t i = 0; i < kEntries; ++i) {
    entries_.emplace_back();
    entries_.back().local_ledger = Open(i, 1);
  }
  forwarder_.commit_at = [this](const auto& number, const auto& operation) {
    return CommitAt(number, operation);
  };
  store_.between_calls = [this] {
    if (depth_ < kMaxDepth && Pick(3) == 0)
      Step();
  };
}

std::unique_ptr<ledger> ledger_history::Open(std::size_t number,
                                             std::uint64_t incarnation) {
  return fixture_.Open("e" + std::to_string(number), incarnation, &store_,
                       number == 0 ? &leader_ : &follower_, &forwarder_);
}

std::optional<operation_outcome> ledger_history::CommitAt(
    const std::string& number,
    const ledger_operation& operation) {
  auto& leader = entries_[std::stoul(number)];
  if (leader.in_call)
    return std::nullopt;
  leader.in_call = true;
  const auto shard = leader.local_ledger->ShardFor(
      "claims-desk", ToRequest(operation)->entry.key);
  std::optional<operation_outcome> outcome;
  if (shard) {
    outcome = leader.local_ledger
                  ->CommitFor(*shard, {operation},
                              fixture_.clock.now() + milliseconds(250))
                  .front();
  }
  leader.in_call = false;
  return outcome;
}

void ledger_history::Run(int steps) {
  for (int i = 0; i < steps; ++i)
    Step();
  store_.SetDown(false);
  store_.EndFaults();
  for (int i = 0; i < 5; ++i) {
    fixture_.clock.Advance(std::chrono::seconds(10));
    for (auto& entry : entries_)
      entry.local_ledger->RetryPending();
  }
  CheckFinalState();
}

// One entry performs one action, possibly in the middle of a call of another
// entry, which is then paused until the action ends.
void ledger_history::Step() {
  auto& entry = entries_[static_cast<std::size_t>(Pick(kEntries))];
  if (entry.in_call)
    return;
  entry.in_call = true;
  ++depth_;
  switch (Pick(20)) {
    case 0:
      Crash(entry);
      break;
    case 1:
      fixture_.clock.Advance(milliseconds(Pick(3000)));
      break;
    case 2:
      store_.SetDown(Pick(4) == 0);
      break;
    case 3:
      forwarder_.DeliverDelayed();
      break;
    case 4:
      entry.local_ledger->RetryPending();
      break;
    default: {
      const auto key = "k" + std::to_string(Pick(kKeys));
      const auto outcome = entry.local_ledger->Reserve(fixture_.Request(key));
      RecordOutcome(key, outcome);
      if (Is<reserved>(outcome))
        RunRequest(entry, key, std::get<reserved>(outcome).ticket);
    }
  }
  --depth_;
  entry.in_call = false;
}

void ledger_history::Crash(simulated_entry& entry) {
  ++crashes_;
  const auto number = static_cast<std::size_t>(&entry - entries_.data());
  if (entry.local_ledger->pending() > 0) {
    // The settlements that the process had not written yet are lost. It isn't
    // tracked for which keys, so any key may end in doubt.
    for (auto& [key, history] : keys_)
      history.may_be_in_doubt = true;
  }
  entry.local_ledger = Open(number, ++entry.incarnation);
}

void ledger_history::RunRequest(simulated_entry& entry,
                                const std::string& key,
                                const reservation_ticket& ticket) {
  auto& history = keys_[key];
  // The holder is paused between reserving and dispatching, possibly for so
  // long that other entries consider its reservation in doubt.
  if (Pick(8) == 0)
    fixture_.clock.Advance(milliseconds(Pick(20000)));
  if (!ticket.MayDispatch(fixture_.clock.now()) || Pick(8) == 0) {
    entry.local_ledger->Release(ticket);
    return;
  }
  // The process crashes in between: the request was not executed, but no other
  // process can know that.
  if (Pick(12) == 0) {
    Crash(entry);
    return;
  }
  ++dispatches_;
  if (++history.runs > 1)
    violations_.insert(key + " was executed twice");
  if (Pick(8) == 0)
    fixture_.clock.Advance(milliseconds(Pick(20000)));
  switch (Pick(8)) {
    case 0:
      history.may_be_in_doubt = true;
      Crash(entry);
      return;
    case 1:
      history.may_be_in_doubt = true;
      entry.local_ledger->MarkUnknown(ticket);
      return;
    default: {
      const auto body = key + "/" + std::to_string(dispatches_);
      history.responses.insert(body);
      if (entry.local_ledger->Complete(ticket, Response(body)) ==
          settle_effect::kSuperseded) {
        violations_.insert(
            key + " was reserved by another entry during its execution");
      }
    }
  }
}

void ledger_history::RecordOutcome(const std::string& key,
                                   const reservation_outcome& outcome) {
  const auto& history = keys_[key];
  if (const auto* replayed = std::get_if<replay>(&outcome)) {
    ++replays_;
    if (!history.responses.contains(replayed->response.body))
      violations_.insert(key + " was replayed with a response of no execution");
  }
  if (Is<in_doubt>(outcome))
    ++in_doubt_outcomes_;
}

// Checks that no execution is lost: a request that was executed by an entry
// which survived is done, with its response; a key whose request was executed
// otherwise is never free for another execution.
void ledger_history::CheckFinalState() {
  auto& reader = *entries_.front().local_ledger;
  for (const auto& [key, history] : keys_) {
    const auto record = reader.Show("claims-desk", key);
    const bool free =
        !record || record.value().entry.state == reservation_state::kReleased;
    if (history.runs > 0 && free)
      violations_.insert(key + " was executed and may be executed again");
    const bool done =
        record && record.value().entry.state == reservation_state::kDone;
    if (done && !history.responses.contains(record.value().entry.response.body))
      violations_.insert(key + " is done with a response of no execution");
    if (!history.responses.empty() && !history.may_be_in_doubt && !done)
      violations_.insert(key + " was completed and is not done");
  }
  for (const auto& entry : entries_) {
    if (entry.local_ledger->pending() > 0)
      violations_.insert("settlements are pending after all faults ended");
  }
}

}  // namespace samphire
