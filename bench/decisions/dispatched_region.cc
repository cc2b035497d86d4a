#include "decisions/dispatched_region.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace samphire {

namespace {

// Delay of a loan message between two entries of the region.
constexpr duration kOneWayDelay = std::chrono::milliseconds(1);
// Lower bound of the time between two ticks of an entry, which keeps a tick
// that is due again at once from stopping simulated time.
constexpr duration kMinTickDelay = std::chrono::milliseconds(1);
// The simulated region, and the one whose callers are shifted to it.
constexpr const char* kHomeRegion = "home";
constexpr const char* kLostRegion = "lost";

}  // namespace

dispatched_region::dispatched_region(const scenario& input,
                                     event_queue& events,
                                     outcome_counter& results,
                                     run_report& report)
    : input_(input),
      events_(events),
      results_(results),
      report_(report),
      service_(workload::MakeService()),
      random_(input.seed + 3) {
  const limits bounds;
  const bool single_entry = input.strategy == strategy::kOneEntry;
  const std::uint32_t entry_count = single_entry ? 1 : workload::kEntries;
  std::vector<owned_slots> owned;
  for (const auto& each : service_.targets)
    owned.push_back({each.name, single_entry ? each.slots : 1});
  for (std::uint32_t i = 0; i < entry_count; ++i) {
    simulated_entry entry;
    entry.name = fmt::format("e{}", i);
    entry.dispatcher = std::make_unique<service_dispatcher>(
        service_, bounds, kHomeRegion, input.seed + 10 + i, input.order);
    entry.dispatcher->SetOwnedSlots(owned, events_.now());
    if (input.cap)
      entry.dispatcher->SetShiftCaps({*input.cap}, {{i}, entry_count});
    entry.loans = std::make_unique<loan_ledger>(
        *entry.dispatcher, service_.name, bounds, i + 1, input.seed + 20 + i);
    entries_.push_back(std::move(entry));
  }
  if (input_.strategy == strategy::kLoans)
    Gossip();
  if (input_.misleading_hints)
    SendHints();
}

void dispatched_region::Gossip() {
  std::vector<lender_digest> digests;
  for (const auto& entry : entries_)
    digests.push_back(
        {entry.name, entry.dispatcher->status(events_.now()).free});
  for (auto& entry : entries_) {
    auto peers = digests;
    std::erase_if(peers, [&](const lender_digest& each) {
      return each.peer == entry.name;
    });
    entry.loans->SetLenders(std::move(peers));
  }
  events_.After(input_.gossip_lag, [this] { Gossip(); });
}

void dispatched_region::SendHints() {
  for (auto& entry : entries_) {
    for (const auto& each : service_.targets)
      entry.dispatcher->SetLoadHint(each.name,
                                    &each == &service_.targets[0] ? 0 : 1);
  }
}

void dispatched_region::HandleArrival(const request_ptr& request) {
  results_.OnArrival(*request);
  unfinished_.emplace(request->id, request);
  auto& entry = entries_[request->entry % entries_.size()];
  admission_request admission;
  admission.id = request->id;
  admission.request_class = request->rules;
  admission.home_region = request->shifted ? kLostRegion : kHomeRegion;
  admission.arrived = request->arrived;
  admission.deadline = request->deadline;
  const auto decision = entry.dispatcher->Submit(admission, events_.now());
  if (const auto* grant = std::get_if<slot_grant>(&decision))
    StartRequest(entry, *grant);
  else if (const auto* refused = std::get_if<refusal>(&decision))
    RecordRefusal(request->id, refused->reason);
  AdvanceEntry(entry);
}

void dispatched_region::StartRequest(simulated_entry& entry,
                                     const slot_grant& grant) {
  const auto request = unfinished_.at(grant.request_id);
  results_.OnStart(*request, events_.now());
  auto& running = running_on_target_[grant.target];
  report_.max_on_target = std::max(report_.max_on_target, ++running);
  if (request->shifted)
    report_.max_shifted = std::max(report_.max_shifted, ++shifted_running_);
  const bool slow = grant.target == service_.targets[0].name;
  report_.sent_to_slow_target += slow ? 1 : 0;
  const auto needed = std::chrono::duration_cast<duration>(
      request->slot_time * (slow ? input_.slow_factor : 1.0));
  const auto time_left = request->deadline - events_.now();
  const bool in_time = needed <= time_left;
  const auto run_time = std::min<duration>(needed, time_left);
  events_.After(run_time, [this, &entry, grant, request, in_time, run_time] {
    FinishRequest(entry, grant, request, in_time, run_time);
  });
}

void dispatched_region::FinishRequest(simulated_entry& entry,
                                      const slot_grant& grant,
                                      const request_ptr& request,
                                      bool in_time,
                                      duration run_time) {
  --running_on_target_[grant.target];
  if (request->shifted)
    --shifted_running_;
  results_.OnEnd(*request, in_time, events_.now());
  unfinished_.erase(request->id);
  const auto outcome =
      in_time ? attempt_outcome::kOk : attempt_outcome::kTimedOut;
  ApplyWakeups(
      entry, entry.dispatcher->Finish(grant, outcome, run_time, events_.now()));
  AdvanceEntry(entry);
}

void dispatched_region::ApplyWakeups(simulated_entry& entry,
                                     const std::vector<wakeup>& wakeups) {
  for (const auto& each : wakeups) {
    if (const auto* grant = std::get_if<slot_grant>(&each.result))
      StartRequest(entry, *grant);
    else
      RecordRefusal(each.request_id, std::get<refusal>(each.result).reason);
  }
}

void dispatched_region::RecordRefusal(std::uint64_t id, result_code reason) {
  const auto found = unfinished_.find(id);
  results_.OnRefusal(*found->second, reason);
  unfinished_.erase(found);
}

void dispatched_region::AdvanceEntry(simulated_entry& entry) {
  if (input_.strategy == strategy::kLoans) {
    const auto step = entry.loans->Advance(events_.now());
    ApplyWakeups(entry, step.wakeups);
    SendMessages(entry, step.messages);
  }
  ScheduleTick(entry);
}

void dispatched_region::SendMessages(simulated_entry& from,
                                     const loan_outbox& messages) {
  for (const auto& each : messages) {
    if (std::uniform_real_distribution<>(0, 1)(random_) <
        input_.loan_message_loss)
      continue;
    events_.After(kOneWayDelay, [this, sender = from.name, each] {
      auto& receiver = EntryOf(each.to);
      const auto step =
          receiver.loans->Receive(sender, each.message, events_.now());
      ApplyWakeups(receiver, step.wakeups);
      SendMessages(receiver, step.messages);
      AdvanceEntry(receiver);
    });
  }
}

dispatched_region::simulated_entry& dispatched_region::EntryOf(
    const std::string& name) {
  return *std::find_if(
      entries_.begin(), entries_.end(),
      [&](const simulated_entry& each) { return each.name == name; });
}

void dispatched_region::ScheduleTick(simulated_entry& entry) {
  const auto now = events_.now();
  auto due = entry.dispatcher->NextTick(now);
  if (input_.strategy == strategy::kLoans)
    due = std::min(due, entry.loans->NextDue());
  if (due >= entry.next_tick || due == time_point::max())
    return;
  due = std::max(due, now + kMinTickDelay);
  entry.next_tick = due;
  events_.At(due, [this, &entry, due] {
    if (entry.next_tick != due)
      return;
    entry.next_tick = time_point::max();
    ApplyWakeups(entry, entry.dispatcher->Tick(events_.now()));
    AdvanceEntry(entry);
  });
}

void dispatched_region::AddEntryCounts() {
  for (const auto& entry : entries_) {
    const auto counts = entry.loans->counts();
    report_.loans += counts.borrowed;
    report_.loan_requests += counts.requests_sent;
    report_.loan_messages += counts.messages;
  }
}

}  // namespace samphire
