#ifndef GATEWAY_PEER_CALL_PATH_H_
#define GATEWAY_PEER_CALL_PATH_H_

#include <string>

namespace samphire {

// Path on the peers' port at which an entry receives peer_call messages.
inline const std::string kPeerCallPath = "/v1/peer/call";

}  // namespace samphire

#endif  // GATEWAY_PEER_CALL_PATH_H_
