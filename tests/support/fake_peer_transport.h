#ifndef SUPPORT_FAKE_PEER_TRANSPORT_H_
#define SUPPORT_FAKE_PEER_TRANSPORT_H_

#include <cstdint>
#include <map>
#include <string>

#include "peer/peer_transport.h"
#include "support/fake_peer_network.h"

namespace samphire {

// One entry's end of a fake network.
class fake_peer_transport final : public peer_transport {
 public:
  fake_peer_transport(fake_peer_network& network,
                      std::string address,
                      std::string sender,
                      std::uint64_t incarnation);
  ~fake_peer_transport() override;

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
