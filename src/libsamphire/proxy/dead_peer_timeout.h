#ifndef PROXY_DEAD_PEER_TIMEOUT_H_
#define PROXY_DEAD_PEER_TIMEOUT_H_

#include <Poco/Net/StreamSocket.h>

#include "base/clock_source.h"

namespace samphire {

// Makes the kernel fail a connection when the other side has acknowledged
// nothing for `limit`: neither bytes in flight nor, on an idle connection,
// keep-alive probes. Throws Poco::Exception if an option can't be set.
void SetDeadPeerTimeout(Poco::Net::StreamSocket& socket, milliseconds limit);

}  // namespace samphire

#endif  // PROXY_DEAD_PEER_TIMEOUT_H_
