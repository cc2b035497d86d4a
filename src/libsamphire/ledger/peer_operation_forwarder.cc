#include "ledger/peer_operation_forwarder.h"

#include <algorithm>
#include <utility>

#include "peer/peer_envelope.h"

namespace samphire {

namespace {

// Time to wait for a response before the request is sent again. A batch at the
// leader takes some tens of milliseconds (one batch interval and two calls to
// the platform), so after this time the request or the response was probably
// lost.
constexpr milliseconds kResendInterval{100};
// Maximum time to wait for the leader before the entry uses the platform
// itself. This is the latency that a failed leader adds to a call until
// membership detects the failure.
constexpr milliseconds kForwardTimeout{250};
// Time after sending during which the leader may still commit the operation.
constexpr milliseconds kCommitExpiry{500};

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
      message_kind::kLedgerResponse,
      [this](const peer_message& message) { Receive(message); });
}

peer_operation_forwarder::~peer_operation_forwarder() {
  transport_.OnMessage(message_kind::kLedgerResponse, nullptr);
}

std::optional<operation_outcome> peer_operation_forwarder::Forward(
    const std::string& leader,
    const ledger_operation& operation,
    time_point deadline) {
  auto request = ToRequest(operation);
  if (!request)
    return std::nullopt;
  {
    std::lock_guard guard(lock_);
    request->id = ++last_id_;
    outstanding_[request->id];
  }
  request->expires_at = WallMs(clock_.wall_now() + kCommitExpiry);
  const auto payload = EncodeBinary(*request);
  std::optional<forward_response> response;
  // An operation with a large response doesn't fit a datagram; the entry
  // commits it through the platform itself.
  if (payload.size() <= kMaxPeerPayloadBytes) {
    response = Exchange(leader, request->id, payload,
                        std::min(deadline, clock_.now() + kForwardTimeout));
  }
  {
    std::lock_guard guard(lock_);
    outstanding_.erase(request->id);
  }
  metrics_.Count("ledger_forwards_total",
                 response ? "result=\"answered\"" : "result=\"unanswered\"");
  return response ? ToOutcome(*response, operation) : std::nullopt;
}

// Sending a request twice is harmless, because the leader recognizes the
// reservation by its nonce.
std::optional<forward_response> peer_operation_forwarder::Exchange(
    const std::string& leader,
    std::uint64_t id,
    const std::string& payload,
    time_point deadline) {
  std::unique_lock guard(lock_);
  while (clock_.now() < deadline) {
    guard.unlock();
    const auto sent =
        transport_.Send(leader, message_kind::kLedgerRequest, payload);
    guard.lock();
    if (!sent)
      return std::nullopt;
    const auto wait =
        std::min<duration>(kResendInterval, deadline - clock_.now());
    const auto& received = outstanding_.at(id);
    if (response_arrived_.wait_for(
            guard, wait, [&received] { return received.has_value(); }))
      return received;
  }
  return std::nullopt;
}

void peer_operation_forwarder::Receive(const peer_message& message) {
  auto response = DecodeBinary<forward_response>(message.payload);
  if (!response)
    return metrics_.Count("ledger_forward_malformed_total");
  std::lock_guard guard(lock_);
  const auto found = outstanding_.find(response->id);
  if (found == outstanding_.end())
    return;
  found->second = std::move(response);
  response_arrived_.notify_all();
}

}  // namespace samphire
