#ifndef PROXY_TCP_CONNECTION_OPENER_H_
#define PROXY_TCP_CONNECTION_OPENER_H_

#include "proxy/connection_opener.h"

namespace samphire {

// Opens TCP connections that fail soon after the other side falls silent.
class tcp_connection_opener final : public connection_opener {
 public:
  result<Poco::Net::StreamSocket> Open(const std::string& address,
                                       milliseconds timeout) const override;

  // The one that is used where no other is given.
  static const tcp_connection_opener& Default();
};

}  // namespace samphire

#endif  // PROXY_TCP_CONNECTION_OPENER_H_
