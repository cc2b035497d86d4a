#include "proxy/silence_limit.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace samphire {

namespace {

// The system counts the pauses of probes in whole seconds.
constexpr int kProbePauseSeconds = 1;
constexpr int kProbes = 3;

}  // namespace

void SetSilenceLimit(Poco::Net::StreamSocket& socket, milliseconds limit) {
  socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT,
                   static_cast<int>(limit.count()));
  socket.setKeepAlive(true);
  socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, kProbePauseSeconds);
  socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, kProbePauseSeconds);
  socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

}  // namespace samphire
