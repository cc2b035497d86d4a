#include "proxy/tcp_connection_opener.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <chrono>

#include "proxy/dead_peer_timeout.h"

namespace samphire {

// Without a bound on the time without any acknowledgement, TCP would retransmit
// to a machine that lost power or is partitioned for many minutes, and the
// waiting request would notice only at its deadline.
result<Poco::Net::StreamSocket> tcp_connection_opener::Open(
    const std::string& address,
    milliseconds timeout) const {
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(
        Poco::Net::SocketAddress(address),
        Poco::Timespan(
            std::chrono::duration_cast<microseconds>(timeout).count()));
    socket.setNoDelay(true);
    SetDeadPeerTimeout(socket, dead_peer_timeout_);
    return socket;
  } catch (const Poco::Exception& e) {
    return MakeError(result_code::kTargetUnreachable, e.displayText());
  }
}

const tcp_connection_opener& tcp_connection_opener::Default() {
  static const tcp_connection_opener opener;
  return opener;
}

}  // namespace samphire
