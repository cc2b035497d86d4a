#ifndef PROXY_CONNECTION_OPENER_H_
#define PROXY_CONNECTION_OPENER_H_

#include <Poco/Net/StreamSocket.h>

#include <string>

#include "base/clock_source.h"
#include "base/result.h"

namespace samphire {

// Opens connections to targets and peers. Thread-safe.
class connection_opener {
 public:
  virtual ~connection_opener() = default;

  // Blocks until the connection to IP:PORT is open, and for `timeout` at most.
  // Fails with kTargetUnreachable.
  virtual result<Poco::Net::StreamSocket> Open(const std::string& address,
                                               milliseconds timeout) const = 0;
};

}  // namespace samphire

#endif  // PROXY_CONNECTION_OPENER_H_
