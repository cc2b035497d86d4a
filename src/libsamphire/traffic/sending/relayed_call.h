#ifndef TRAFFIC_SENDING_RELAYED_CALL_H_
#define TRAFFIC_SENDING_RELAYED_CALL_H_

#include <Poco/Net/HTTPRequest.h>

#include <cstddef>
#include <string>

#include "gateway/peer_signer.h"
#include "routing/live_target.h"
#include "traffic/traffic_request.h"

namespace samphire {

// A request that one entry passes to another, which makes one attempt at the
// target that the first one has chosen. It is the request for the target
// itself, with these headers in addition.

// The target's service and id.
inline const std::string kHeaderRelayService = "Samphirewinch-Relay-Service";
inline const std::string kHeaderRelayTarget = "Samphirewinch-Relay-Target";
// "1" if the request may run more than once, else "0".
inline const std::string kHeaderRelayIdempotent =
    "Samphirewinch-Relay-Idempotent";
// Number of the first bytes of the body that the token covers.
inline const std::string kHeaderRelaySigned = "Samphirewinch-Relay-Signed";

// "1" if the sender keeps the rest of the body until it is asked for it with
// 100 Continue.
inline const std::string kHeaderRelayAsk = "Samphirewinch-Relay-Ask";

// Returns what the token of the call covers in addition to the request line;
// `body` is the part of the body that it covers.
std::string RelayedContent(const Poco::Net::HTTPRequest& head,
                           const std::string& body);

// Makes the request for the target a call of the entry at the peer address
// `relay`.
void AddRelayHeaders(peer_signer& signer,
                     const traffic_request& request,
                     const live_target& target,
                     const std::string& relay,
                     Poco::Net::HTTPRequest& head);

}  // namespace samphire

#endif  // TRAFFIC_SENDING_RELAYED_CALL_H_
