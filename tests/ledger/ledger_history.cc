#include "ledger/ledger_history.h"

#include <chrono>

namespace samphire {

namespace {

constexpr int kActors = 4;
constexpr int kKeys = 12;
constexpr int kMaxDepth = 3;

}  // namespace

ledger_history::ledger_history(std::uint64_t seed,
                               chaos_store::missing_guard missing)
    : random_(seed), store_(seed + 1, missing), forwarder_(seed + 2) {
  for (std::size_t i = 0; i < kActors; ++i) {
    actors_.emplace_back();
    actors_.back().entry = Open(i, 1);
  }
  forwarder_.commit_at = [this](const auto& number, const auto& operation) {
    return CommitAt(number, operation);
  };
  store_.others_act = [this] {
    if (depth_ < kMaxDepth && Pick(3) == 0)
      Act();
  };
}

std::unique_ptr<ledger> ledger_history::Open(std::size_t number,
                                             std::uint64_t incarnation) {
  return world_.Open("e" + std::to_string(number), incarnation, &store_,
                     number == 0 ? &leader_ : &follower_, &forwarder_);
}

std::optional<operation_outcome> ledger_history::CommitAt(
    const std::string& number,
    const ledger_operation& operation) {
  auto& leader = actors_[std::stoul(number)];
  if (leader.acting)
    return std::nullopt;
  leader.acting = true;
  const auto shard =
      leader.entry->ShardFor("claims-desk", ToAsk(operation)->entry.key);
  std::optional<operation_outcome> outcome;
  if (shard) {
    outcome = leader.entry
                  ->CommitFor(*shard, {operation},
                              world_.clock.now() + milliseconds(250))
                  .front();
  }
  leader.acting = false;
  return outcome;
}

void ledger_history::Run(int steps) {
  for (int i = 0; i < steps; ++i)
    Act();
  store_.SetDown(false);
  store_.Heal();
  for (int i = 0; i < 5; ++i) {
    world_.clock.Advance(std::chrono::seconds(10));
    for (auto& actor : actors_)
      actor.entry->RetryPending();
  }
  CheckEnd();
}

// One entry does something, possibly while another is in the midst of a call:
// that one is then paused as long as this takes.
void ledger_history::Act() {
  auto& subject = actors_[static_cast<std::size_t>(Pick(kActors))];
  if (subject.acting)
    return;
  subject.acting = true;
  ++depth_;
  switch (Pick(20)) {
    case 0:
      Crash(subject);
      break;
    case 1:
      world_.clock.Advance(milliseconds(Pick(3000)));
      break;
    case 2:
      store_.SetDown(Pick(4) == 0);
      break;
    case 3:
      forwarder_.DeliverLate();
      break;
    case 4:
      subject.entry->RetryPending();
      break;
    default: {
      const auto key = "k" + std::to_string(Pick(kKeys));
      const auto outcome = subject.entry->Reserve(world_.Request(key));
      Judge(key, outcome);
      if (Is<reserved>(outcome))
        RunReserved(subject, key, std::get<reserved>(outcome).ticket);
    }
  }
  --depth_;
  subject.acting = false;
}

void ledger_history::Crash(actor& subject) {
  ++crashes_;
  const auto number = static_cast<std::size_t>(&subject - actors_.data());
  // What it hadn't written is lost with it; which keys, nobody knows.
  if (subject.entry->pending() > 0) {
    for (auto& [key, history] : keys_)
      history.may_doubt = true;
  }
  subject.entry = Open(number, ++subject.incarnation);
}

void ledger_history::RunReserved(actor& subject,
                                 const std::string& key,
                                 const reservation_ticket& ticket) {
  auto& history = keys_[key];
  // The holder is paused between reserving and dispatching, maybe for so long
  // that its reservation is in doubt to the others.
  if (Pick(8) == 0)
    world_.clock.Advance(milliseconds(Pick(20000)));
  if (!ticket.MayDispatch(world_.clock.now()) || Pick(8) == 0) {
    subject.entry->Release(ticket);
    return;
  }
  // It dies in between: the claim did not run, but nobody can know that.
  if (Pick(12) == 0) {
    Crash(subject);
    return;
  }
  ++dispatches_;
  if (++history.runs > 1)
    violations_.insert(key + " ran twice");
  if (Pick(8) == 0)
    world_.clock.Advance(milliseconds(Pick(20000)));
  switch (Pick(8)) {
    case 0:
      history.may_doubt = true;
      Crash(subject);
      return;
    case 1:
      history.may_doubt = true;
      subject.entry->MarkUnknown(ticket);
      return;
    default: {
      const auto body = key + "/" + std::to_string(dispatches_);
      history.answers.insert(body);
      if (subject.entry->Complete(ticket, Answer(body)) ==
          settle_effect::kSuperseded) {
        violations_.insert(key + " was taken over while it ran");
      }
    }
  }
}

void ledger_history::Judge(const std::string& key,
                           const reservation_outcome& outcome) {
  const auto& history = keys_[key];
  if (const auto* answer = std::get_if<replay>(&outcome)) {
    ++replays_;
    if (!history.answers.contains(answer->answer.body))
      violations_.insert(key + " was answered by what never ran");
  }
  if (Is<in_doubt>(outcome))
    ++doubts_;
}

// Nothing is lost: what ran and whose entry lived is done, with its answer;
// what ran in any other case is never free to run again.
void ledger_history::CheckEnd() {
  auto& reader = *actors_.front().entry;
  for (const auto& [key, history] : keys_) {
    const auto record = reader.Show("claims-desk", key);
    const bool free =
        !record || record.value().entry.state == reservation_state::kReleased;
    if (history.runs > 0 && free)
      violations_.insert(key + " ran and is free to run again");
    const bool done =
        record && record.value().entry.state == reservation_state::kDone;
    if (done && !history.answers.contains(record.value().entry.answer.body))
      violations_.insert(key + " is done with an answer of no run");
    if (!history.answers.empty() && !history.may_doubt && !done)
      violations_.insert(key + " was completed and is not done");
  }
  for (const auto& actor : actors_) {
    if (actor.entry->pending() > 0)
      violations_.insert("settlements are left after healing");
  }
}

}  // namespace samphire
