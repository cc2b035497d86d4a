#ifndef GATEWAY_PEER_CALL_PATH_H_
#define GATEWAY_PEER_CALL_PATH_H_

#include <string>

namespace samphire {

// Where an entry takes the calls of its peers.
inline const std::string kPeerCallPath = "/v1/peer/call";

}  // namespace samphire

#endif  // GATEWAY_PEER_CALL_PATH_H_
