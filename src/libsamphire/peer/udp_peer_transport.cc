#include "peer/udp_peer_transport.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <fmt/format.h>

#include <utility>

#include "peer/envelope_codec.h"

namespace samphire {

namespace {

// Interval at which the receiving thread checks whether it should stop; the
// maximum time that stopping takes.
constexpr int kPollIntervalUs = 100'000;
// Size of the socket's receive buffer in bytes. A burst of a few hundred
// datagrams must not be lost while the scheduler delays the receiving thread.
constexpr int kReceiveBufferBytes = 1 << 20;

Poco::Net::SocketAddress ParseAddress(const std::string& address) {
  return Poco::Net::SocketAddress(address);
}

}  // namespace

udp_peer_transport::udp_peer_transport(const std::string& address,
                                       std::string sender,
                                       std::uint64_t incarnation,
                                       peer_keys keys,
                                       const clock_source& clock,
                                       metrics& registry)
    : socket_(ParseAddress(address), false),
      address_(socket_.address().toString()),
      sender_(std::move(sender)),
      incarnation_(incarnation),
      keys_(std::move(keys)),
      clock_(clock),
      metrics_(registry) {
  socket_.setReceiveBufferSize(kReceiveBufferBytes);
}

udp_peer_transport::~udp_peer_transport() = default;

result<void> udp_peer_transport::Send(const std::string& address,
                                      message_kind kind,
                                      const std::string& payload) {
  peer_envelope envelope;
  envelope.sender = sender_;
  envelope.incarnation = incarnation_;
  envelope.sequence = ++sequence_;
  envelope.sent_at_us = std::chrono::duration_cast<microseconds>(
                            clock_.wall_now().time_since_epoch())
                            .count();
  envelope.kind = kind;
  envelope.payload = payload;
  BOOST_OUTCOME_TRY(datagram, SignEnvelope(envelope, address, keys_));
  try {
    socket_.sendTo(datagram.data(), static_cast<int>(datagram.size()),
                   ParseAddress(address));
  } catch (const Poco::Exception& failure) {
    metrics_.Count("peer_send_failures_total");
    return MakeError(result_code::kPeerUnreachable, failure.displayText());
  }
  const auto label =
      fmt::format("kind=\"{}\"", NameOf(kMessageKindNames, kind));
  metrics_.Count("peer_sent_total", label);
  metrics_.Count("peer_sent_bytes_total", {},
                 static_cast<std::int64_t>(datagram.size()));
  return Success();
}

void udp_peer_transport::OnMessage(message_kind kind, handler receive) {
  std::lock_guard guard(handlers_lock_);
  handlers_[static_cast<std::size_t>(kind)] = std::move(receive);
}

void udp_peer_transport::Start() {
  receiver_ = std::jthread([this](const std::stop_token& stop) { Run(stop); });
}

void udp_peer_transport::Run(const std::stop_token& stop) {
  const Poco::Timespan timeout(kPollIntervalUs);
  while (!stop.stop_requested()) {
    // An ICMP error caused by a datagram to a stopped peer is reported here as
    // an error of the socket. It must not end the thread that receives from all
    // other peers.
    try {
      if (socket_.poll(timeout, Poco::Net::Socket::SELECT_READ))
        ReceiveOne();
    } catch (const Poco::Exception&) {
      metrics_.Count("peer_receive_failures_total");
    }
  }
}

void udp_peer_transport::ReceiveOne() {
  // One byte larger than the maximum, so that an oversized datagram, which is
  // truncated to the buffer, is recognized by its size.
  std::array<char, kMaxDatagramBytes + 1> buffer;
  Poco::Net::SocketAddress from;
  const int size =
      socket_.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), from);
  if (size > 0) {
    Accept({buffer.data(), static_cast<std::size_t>(size)}, from.toString());
  }
}

void udp_peer_transport::Accept(std::string_view datagram, std::string from) {
  auto verified = VerifyEnvelope(datagram, address_, keys_);
  if (!verified)
    return CountDropped(verified.error());
  auto& envelope = verified.value();
  const auto accepted = replay_guard_.Accept(envelope, clock_.wall_now());
  if (!accepted)
    return CountDropped(accepted.error());
  const auto label =
      fmt::format("kind=\"{}\"", NameOf(kMessageKindNames, envelope.kind));
  metrics_.Count("peer_received_total", label);
  // Held while the handler runs: a caller of OnMessage that removes a handler
  // because its owner is about to be destroyed has to wait for a delivery in
  // progress.
  std::lock_guard guard(handlers_lock_);
  const auto& receive = handlers_[static_cast<std::size_t>(envelope.kind)];
  if (receive) {
    receive({std::move(envelope.sender), envelope.incarnation, std::move(from),
             std::move(envelope.payload)});
  }
}

// Invalid datagrams get no response: a response would reveal to an
// unauthenticated sender that a service listens here, and with a forged source
// address it could be directed at a third party.
void udp_peer_transport::CountDropped(const error& reason) {
  metrics_.Count("peer_dropped_total",
                 fmt::format("reason=\"{}\"", NameOf(reason.code)));
}

}  // namespace samphire
