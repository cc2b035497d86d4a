#include "support/fake_peer_transport.h"

#include <utility>

#include "peer/peer_envelope.h"

namespace samphire {

fake_peer_transport::fake_peer_transport(fake_peer_network& network,
                                         std::string address,
                                         std::string sender,
                                         std::uint64_t incarnation)
    : network_(network),
      address_(std::move(address)),
      sender_(std::move(sender)),
      incarnation_(incarnation) {
  network_.transports_[address_] = this;
}

fake_peer_transport::~fake_peer_transport() {
  const auto found = network_.transports_.find(address_);
  if (found != network_.transports_.end() && found->second == this)
    network_.transports_.erase(found);
}

result<void> fake_peer_transport::Send(const std::string& address,
                                       message_kind kind,
                                       const std::string& payload) {
  if (payload.size() > kMaxPeerPayloadBytes)
    return MakeError(result_code::kPeerMalformed,
                     "payload exceeds the limit for a datagram");
  network_.Post(address_,
                {address, kind, {sender_, incarnation_, address_, payload}});
  return Success();
}

void fake_peer_transport::OnMessage(message_kind kind, handler receive) {
  handlers_[kind] = std::move(receive);
}

void fake_peer_transport::Deliver(message_kind kind,
                                  const peer_message& message) {
  const auto found = handlers_.find(kind);
  if (found != handlers_.end())
    found->second(message);
}

}  // namespace samphire
