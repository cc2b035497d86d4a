#include "ledger/peer_operation_forwarder.h"

#include <algorithm>
#include <utility>

#include "peer/peer_envelope.h"

namespace samphire {

namespace {

// A batch at the leader takes some tens of milliseconds: one interval and two
// calls. An answer that isn't there by then was likely lost.
constexpr milliseconds kAskAgain{100};
// After this time the entry goes to the platform itself, so a leader that
// died costs a caller this much until membership has noticed.
constexpr milliseconds kGiveUp{250};
// How much longer the leader may commit what was asked.
constexpr milliseconds kExpiry{500};

std::int64_t WallMs(wall_time time) {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
      .count();
}

}  // namespace

peer_operation_forwarder::peer_operation_forwarder(peer_transport& transport,
                                                   const clock_source& clock,
                                                   metrics& registry)
    : transport_(transport), clock_(clock), metrics_(registry) {
  transport_.OnMessage(
      message_kind::kLedgerAnswer,
      [this](const peer_message& message) { Receive(message); });
}

peer_operation_forwarder::~peer_operation_forwarder() {
  transport_.OnMessage(message_kind::kLedgerAnswer, nullptr);
}

std::optional<operation_outcome> peer_operation_forwarder::Forward(
    const std::string& leader,
    const ledger_operation& operation,
    time_point deadline) {
  auto ask = ToAsk(operation);
  if (!ask)
    return std::nullopt;
  {
    std::lock_guard guard(lock_);
    ask->id = ++last_id_;
    waiting_[ask->id];
  }
  ask->expires_at = WallMs(clock_.wall_now() + kExpiry);
  const auto payload = EncodeBinary(*ask);
  std::optional<forward_answer> answer;
  // A large answer doesn't fit a datagram; it goes to the platform directly.
  if (payload.size() <= kMaxPeerPayload) {
    answer = Exchange(leader, ask->id, payload,
                      std::min(deadline, clock_.now() + kGiveUp));
  }
  {
    std::lock_guard guard(lock_);
    waiting_.erase(ask->id);
  }
  metrics_.Count("ledger_forwards_total",
                 answer ? "result=\"answered\"" : "result=\"unanswered\"");
  return answer ? ToOutcome(*answer, operation) : std::nullopt;
}

// Asking twice is harmless: the leader knows the reservation by its nonce.
std::optional<forward_answer> peer_operation_forwarder::Exchange(
    const std::string& leader,
    std::uint64_t id,
    const std::string& payload,
    time_point deadline) {
  std::unique_lock guard(lock_);
  while (clock_.now() < deadline) {
    guard.unlock();
    const auto sent =
        transport_.Send(leader, message_kind::kLedgerAsk, payload);
    guard.lock();
    if (!sent)
      return std::nullopt;
    const auto wait = std::min<duration>(kAskAgain, deadline - clock_.now());
    const auto& slot = waiting_.at(id);
    if (answered_.wait_for(guard, wait, [&slot] { return slot.has_value(); }))
      return slot;
  }
  return std::nullopt;
}

void peer_operation_forwarder::Receive(const peer_message& message) {
  auto answer = DecodeBinary<forward_answer>(message.payload);
  if (!answer)
    return metrics_.Count("ledger_forward_malformed_total");
  std::lock_guard guard(lock_);
  const auto found = waiting_.find(answer->id);
  if (found == waiting_.end())
    return;
  found->second = std::move(answer);
  answered_.notify_all();
}

}  // namespace samphire
