#ifndef PEER_PEER_TRANSPORT_H_
#define PEER_PEER_TRANSPORT_H_

#include <functional>
#include <string>

#include "base/result.h"
#include "peer/message_kind.h"
#include "peer/peer_message.h"

namespace samphire {

// Sends and receives datagrams between entries. They may be lost, late, out
// of order, but never forged or seen twice.
class peer_transport {
 public:
  using handler = std::function<void(const peer_message&)>;

  virtual ~peer_transport() = default;

  // Returns when the datagram has left; whether it arrives is not known.
  virtual result<void> Send(const std::string& address,
                            message_kind kind,
                            const std::string& payload) = 0;

  // One handler a kind; an empty one takes it back, and returns when none is
  // running. A handler runs on the receiving thread, must not block and must
  // not call this.
  virtual void OnMessage(message_kind kind, handler receive) = 0;
};

}  // namespace samphire

#endif  // PEER_PEER_TRANSPORT_H_
