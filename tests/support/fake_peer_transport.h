#ifndef SUPPORT_FAKE_PEER_TRANSPORT_H_
#define SUPPORT_FAKE_PEER_TRANSPORT_H_

#include <cstdint>
#include <map>
#include <string>

#include "peer/peer_transport.h"
#include "support/fake_peer_network.h"

namespace samphire {

// The transport of one entry on a fake network, which must outlive it.
// Registers itself under its address and replaces a previous transport there,
// as after a restart. Belongs to the network's thread, on which handlers are
// called.
class fake_peer_transport final : public peer_transport {
 public:
  fake_peer_transport(fake_peer_network& network,
                      std::string address,
                      std::string sender,
                      std::uint64_t incarnation);
  ~fake_peer_transport() override;

  // Fails with kPeerMalformed if the payload exceeds kMaxPeerPayloadBytes. A
  // datagram to an unknown address is lost without an error.
  result<void> Send(const std::string& address,
                    message_kind kind,
                    const std::string& payload) override;
  void OnMessage(message_kind kind, handler receive) override;

 private:
  friend class fake_peer_network;

  void Deliver(message_kind kind, const peer_message& message);

  fake_peer_network& network_;
  const std::string address_;
  const std::string sender_;
  const std::uint64_t incarnation_;
  std::map<message_kind, handler> handlers_;
};

}  // namespace samphire

#endif  // SUPPORT_FAKE_PEER_TRANSPORT_H_
