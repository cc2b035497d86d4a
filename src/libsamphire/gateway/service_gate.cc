#include "gateway/service_gate.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

// How often a waiting thread checks whether its caller has disconnected; a
// disconnected caller keeps its place in the queue for this long at most.
constexpr milliseconds kCallerCheckInterval{20};

}  // namespace

service_gate::service_gate(const service& part,
                           const limits& bounds,
                           shift_account_ptr shifts,
                           std::uint64_t incarnation,
                           const clock_source& clock,
                           message_sink sink)
    : clock_(clock),
      sink_(std::move(sink)),
      dispatcher_(part, bounds, std::move(shifts), incarnation),
      loans_(dispatcher_, part.name, bounds, incarnation, incarnation) {}

template <typename Step>
void service_gate::Run(Step&& step) {
  loan_outbox messages;
  {
    std::lock_guard guard(lock_);
    const auto now = clock_.now();
    Deliver(std::forward<Step>(step)(now));
    messages = FollowLoans(now);
  }
  if (!messages.empty())
    sink_(messages);
}

void service_gate::Deliver(const std::vector<wakeup>& wakeups) {
  for (const auto& each : wakeups) {
    const auto found = waiters_.find(each.request_id);
    if (found == waiters_.end())
      continue;
    found->second->resolution = each.result;
    found->second->wake.notify_one();
  }
}

loan_outbox service_gate::FollowLoans(time_point now) {
  auto step = loans_.Advance(now);
  Deliver(step.wakeups);
  return std::move(step.messages);
}

slot_wait_result service_gate::Acquire(const admission_request& request,
                                       const caller_watch& caller) {
  waiter self;
  loan_outbox messages;
  std::unique_lock guard(lock_);
  const auto now = clock_.now();
  // Registered first, because advancing the loans may already resolve it.
  waiters_[request.id] = &self;
  const auto decision = dispatcher_.Submit(request, now);
  messages = FollowLoans(now);
  if (!messages.empty()) {
    guard.unlock();
    sink_(messages);
    guard.lock();
  }
  slot_wait_result end = caller_disconnected{};
  if (const auto* grant = std::get_if<slot_grant>(&decision))
    end = *grant;
  else if (const auto* refused = std::get_if<refusal>(&decision))
    end = *refused;
  else
    end = Await(guard, self, request.id, caller);
  waiters_.erase(request.id);
  return end;
}

slot_wait_result service_gate::Await(std::unique_lock<std::mutex>& guard,
                                     waiter& self,
                                     std::uint64_t request_id,
                                     const caller_watch& caller) {
  const auto ready = [&self] { return self.resolution.has_value(); };
  while (!self.wake.wait_for(guard, kCallerCheckInterval, ready)) {
    if (caller.IsDisconnected())
      return CancelWait(request_id);
  }
  return std::visit(
      [](const auto& resolution) { return slot_wait_result(resolution); },
      *self.resolution);
}

// Called under the lock that has been held since the resolution was last
// checked, so no slot can have been granted in between and be lost.
slot_wait_result service_gate::CancelWait(std::uint64_t request_id) {
  Deliver(dispatcher_.Cancel(request_id, clock_.now()).wakeups);
  return caller_disconnected{};
}

void service_gate::Finish(const slot_grant& grant,
                          attempt_outcome outcome,
                          duration latency) {
  Run([&](time_point now) {
    return dispatcher_.Finish(grant, outcome, latency, now);
  });
}

void service_gate::SetService(const service& part, const limits& bounds) {
  Run([&](time_point now) {
    return dispatcher_.SetService(part, bounds, now);
  });
}

void service_gate::SetOwnedSlots(const std::vector<owned_slots>& owned) {
  Run([&](time_point now) { return dispatcher_.SetOwnedSlots(owned, now); });
}

void service_gate::SetClosedTargets(const std::set<std::string>& closed) {
  Run([&](time_point now) {
    return dispatcher_.SetClosedTargets(closed, now);
  });
}

void service_gate::SetLenders(std::vector<lender_digest> lenders) {
  std::lock_guard guard(lock_);
  loans_.SetLenders(std::move(lenders));
}

void service_gate::Receive(const std::string& from,
                           const loan_message& message) {
  loan_outbox responses;
  Run([&](time_point now) {
    auto step = loans_.Receive(from, message, now);
    responses = std::move(step.messages);
    return std::move(step.wakeups);
  });
  if (!responses.empty())
    sink_(responses);
}

void service_gate::Tick() {
  Run([&](time_point now) { return dispatcher_.Tick(now); });
}

void service_gate::Leave() {
  Run([&](time_point) {
    loans_.Leave();
    return std::vector<wakeup>();
  });
}

dispatcher_status service_gate::status() const {
  std::lock_guard guard(lock_);
  return dispatcher_.status(clock_.now());
}

std::uint32_t service_gate::excess_slot_count() const {
  std::lock_guard guard(lock_);
  return dispatcher_.excess_slots();
}

loan_counts service_gate::loans() const {
  std::lock_guard guard(lock_);
  return loans_.counts();
}

std::set<std::string> service_gate::draining() const {
  std::lock_guard guard(lock_);
  return dispatcher_.draining();
}

}  // namespace samphire
