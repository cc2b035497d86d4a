#ifndef MEMBERSHIP_OUTGOING_MESSAGE_H_
#define MEMBERSHIP_OUTGOING_MESSAGE_H_

#include <string>

#include "peer/message_kind.h"

namespace samphire {

// A message that membership wants sent to the peer at `address` (IP:PORT). The
// payload is encoded; the transport adds the envelope and the signature.
struct outgoing_message {
  std::string address;
  message_kind kind = message_kind::kProbe;
  std::string payload;
};

}  // namespace samphire

#endif  // MEMBERSHIP_OUTGOING_MESSAGE_H_
