#ifndef PEER_PEER_TRANSPORT_H_
#define PEER_PEER_TRANSPORT_H_

#include <functional>
#include <string>

#include "base/result.h"
#include "peer/message_kind.h"
#include "peer/peer_message.h"

namespace samphire {

// Sends and receives datagrams between entries. Datagrams may be lost, delayed
// or reordered, but forged and replayed ones are never delivered. Send may be
// called from any thread.
class peer_transport {
 public:
  using handler = std::function<void(const peer_message&)>;

  virtual ~peer_transport() = default;

  // Sends `payload` to the transport at `address` (IP:PORT). Returns once the
  // datagram is handed to the network; whether it arrives is unknown. Returns
  // kPeerMalformed when the payload is too large and kPeerUnreachable when the
  // datagram could not be sent.
  virtual result<void> Send(const std::string& address,
                            message_kind kind,
                            const std::string& payload) = 0;

  // Sets the only handler for messages of `kind`. An empty handler removes it;
  // the call returns once no invocation of the old handler is running. Handlers
  // run on the receiving thread, must not block and must not call OnMessage.
  virtual void OnMessage(message_kind kind, handler receive) = 0;
};

}  // namespace samphire

#endif  // PEER_PEER_TRANSPORT_H_
