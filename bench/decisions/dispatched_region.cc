#include "decisions/dispatched_region.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace samphire {

namespace {

constexpr duration kOneWay = std::chrono::milliseconds(1);
constexpr duration kLeastTick = std::chrono::milliseconds(1);
constexpr const char* kRegion = "home";
constexpr const char* kLostRegion = "lost";

}  // namespace

dispatched_region::dispatched_region(const scenario& input,
                                     event_queue& events,
                                     recorder& results,
                                     run_report& report)
    : input_(input),
      events_(events),
      results_(results),
      report_(report),
      service_(workload::MakeService()),
      random_(input.seed + 3) {
  const limits bounds;
  const bool alone = input.strategy == strategy::kOneEntry;
  const std::uint32_t count = alone ? 1 : workload::kEntries;
  std::vector<owned_slots> share;
  for (const auto& each : service_.targets)
    share.push_back({each.name, alone ? each.slots : 1});
  for (std::uint32_t i = 0; i < count; ++i) {
    simulated_entry entry;
    entry.name = fmt::format("e{}", i);
    entry.slots = std::make_unique<service_dispatcher>(
        service_, bounds, kRegion, input.seed + 10 + i, input.order);
    entry.slots->SetOwnedSlots(share, events_.now());
    if (input.cap)
      entry.slots->SetShiftCaps({*input.cap}, {{i}, count});
    entry.loans = std::make_unique<loan_ledger>(
        *entry.slots, service_.name, bounds, i + 1, input.seed + 20 + i);
    entries_.push_back(std::move(entry));
  }
  if (input_.strategy == strategy::kLoans)
    Gossip();
  if (input_.misleading_hints)
    SendHints();
}

void dispatched_region::Gossip() {
  std::vector<lender_digest> seen;
  for (const auto& entry : entries_)
    seen.push_back({entry.name, entry.slots->status(events_.now()).free});
  for (auto& entry : entries_) {
    auto others = seen;
    std::erase_if(others, [&](const lender_digest& each) {
      return each.peer == entry.name;
    });
    entry.loans->SetLenders(std::move(others));
  }
  events_.After(input_.gossip_lag, [this] { Gossip(); });
}

void dispatched_region::SendHints() {
  for (auto& entry : entries_) {
    for (const auto& each : service_.targets)
      entry.slots->SetLoadHint(each.name,
                               &each == &service_.targets[0] ? 0 : 1);
  }
}

void dispatched_region::Arrive(const request_ptr& request) {
  results_.OnArrival(*request);
  open_.emplace(request->id, request);
  auto& entry = entries_[request->entry % entries_.size()];
  admission_request asked;
  asked.id = request->id;
  asked.request_class = request->rules;
  asked.home_region = request->shifted ? kLostRegion : kRegion;
  asked.arrived = request->arrived;
  asked.deadline = request->deadline;
  const auto decision = entry.slots->Submit(asked, events_.now());
  if (const auto* grant = std::get_if<slot_grant>(&decision))
    Begin(entry, *grant);
  else if (const auto* refused = std::get_if<refusal>(&decision))
    Refuse(request->id, refused->reason);
  Step(entry);
}

void dispatched_region::Begin(simulated_entry& entry, const slot_grant& grant) {
  const auto request = open_.at(grant.request_id);
  results_.OnStart(*request, events_.now());
  auto& running = on_target_[grant.target];
  report_.most_on_target = std::max(report_.most_on_target, ++running);
  if (request->shifted)
    report_.most_shifted = std::max(report_.most_shifted, ++shifted_running_);
  const bool slow = grant.target == service_.targets[0].name;
  report_.to_slow_target += slow ? 1 : 0;
  const auto takes = std::chrono::duration_cast<duration>(
      request->service * (slow ? input_.slow_factor : 1.0));
  const auto left = request->deadline - events_.now();
  const bool in_time = takes <= left;
  const auto took = std::min<duration>(takes, left);
  events_.After(took, [this, &entry, grant, request, in_time, took] {
    End(entry, grant, request, in_time, took);
  });
}

void dispatched_region::End(simulated_entry& entry,
                            const slot_grant& grant,
                            const request_ptr& request,
                            bool in_time,
                            duration took) {
  --on_target_[grant.target];
  if (request->shifted)
    --shifted_running_;
  results_.OnEnd(*request, in_time, events_.now());
  open_.erase(request->id);
  const auto outcome =
      in_time ? attempt_outcome::kOk : attempt_outcome::kTimedOut;
  Apply(entry, entry.slots->Finish(grant, outcome, took, events_.now()));
  Step(entry);
}

void dispatched_region::Apply(simulated_entry& entry,
                              const std::vector<wakeup>& wakeups) {
  for (const auto& each : wakeups) {
    if (const auto* grant = std::get_if<slot_grant>(&each.result))
      Begin(entry, *grant);
    else
      Refuse(each.request_id, std::get<refusal>(each.result).reason);
  }
}

void dispatched_region::Refuse(std::uint64_t id, result_code reason) {
  const auto found = open_.find(id);
  results_.OnRefusal(*found->second, reason);
  open_.erase(found);
}

void dispatched_region::Step(simulated_entry& entry) {
  if (input_.strategy == strategy::kLoans) {
    const auto step = entry.loans->Advance(events_.now());
    Apply(entry, step.wakeups);
    Carry(entry, step.messages);
  }
  ScheduleTick(entry);
}

void dispatched_region::Carry(simulated_entry& from,
                              const loan_outbox& messages) {
  for (const auto& each : messages) {
    if (std::uniform_real_distribution<>(0, 1)(random_) < input_.message_loss)
      continue;
    events_.After(kOneWay, [this, sender = from.name, each] {
      auto& receiver = EntryOf(each.to);
      const auto step =
          receiver.loans->Receive(sender, each.message, events_.now());
      Apply(receiver, step.wakeups);
      Carry(receiver, step.messages);
      Step(receiver);
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
  auto due = entry.slots->NextTick(now);
  if (input_.strategy == strategy::kLoans)
    due = std::min(due, entry.loans->NextDue());
  if (due >= entry.next_tick || due == time_point::max())
    return;
  due = std::max(due, now + kLeastTick);
  entry.next_tick = due;
  events_.At(due, [this, &entry, due] {
    if (entry.next_tick != due)
      return;
    entry.next_tick = time_point::max();
    Apply(entry, entry.slots->Tick(events_.now()));
    Step(entry);
  });
}

void dispatched_region::Close() {
  for (const auto& entry : entries_) {
    const auto counts = entry.loans->counts();
    report_.loans += counts.borrowed;
    report_.asks += counts.asks_sent;
    report_.loan_messages += counts.messages;
  }
}

}  // namespace samphire
