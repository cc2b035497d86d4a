#ifndef PROXY_TCP_CONNECTION_OPENER_H_
#define PROXY_TCP_CONNECTION_OPENER_H_

#include "proxy/connection_opener.h"

namespace samphire {

// Opens TCP connections that fail soon after the other side falls silent.
class tcp_connection_opener final : public connection_opener {
 public:
  // Time without any acknowledgement after which a connection fails.
  static constexpr milliseconds kDeadPeerTimeout{1000};

  explicit tcp_connection_opener(
      milliseconds dead_peer_timeout = kDeadPeerTimeout)
      : dead_peer_timeout_(dead_peer_timeout) {}

  result<Poco::Net::StreamSocket> Open(const std::string& address,
                                       milliseconds timeout) const override;

  // The one that is used where no other is given.
  static const tcp_connection_opener& Default();

 private:
  const milliseconds dead_peer_timeout_;
};

}  // namespace samphire

#endif  // PROXY_TCP_CONNECTION_OPENER_H_
