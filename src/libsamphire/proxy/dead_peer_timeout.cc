#include "proxy/dead_peer_timeout.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace samphire {

namespace {

// Idle time before the first keep-alive probe, and interval between probes. The
// kernel supports whole seconds only.
constexpr int kProbeIntervalSeconds = 1;
// Unacknowledged probes after which the connection fails. On Linux,
// TCP_USER_TIMEOUT takes the place of this limit while it is set.
constexpr int kProbes = 3;

}  // namespace

void SetDeadPeerTimeout(Poco::Net::StreamSocket& socket, milliseconds limit) {
  socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT,
                   static_cast<int>(limit.count()));
  socket.setKeepAlive(true);
  socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, kProbeIntervalSeconds);
  socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

}  // namespace samphire
