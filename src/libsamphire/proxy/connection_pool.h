#ifndef PROXY_CONNECTION_POOL_H_
#define PROXY_CONNECTION_POOL_H_

#include <Poco/Net/StreamSocket.h>

#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/clock_source.h"
#include "base/result.h"
#include "base/sharded.h"
#include "proxy/tcp_connection_opener.h"

namespace samphire {

// Pool of idle connections to targets and peers, by address. Only a connection
// whose last response was read to its end may be released to the pool. All
// functions may be called from any thread.
class connection_pool {
 public:
  struct pooled_connection {
    Poco::Net::StreamSocket socket;
    // Whether the connection has carried an earlier request.
    bool reused = false;
  };

  // `opener` must outlive the pool.
  explicit connection_pool(
      const connection_opener& opener = tcp_connection_opener::Default())
      : opener_(opener) {}

  // Returns an idle connection that still appears open, or opens a new one.
  // Fails with kTargetUnreachable if connecting fails or exceeds the timeout.
  result<pooled_connection> Acquire(const std::string& address,
                                    milliseconds connect_timeout);
  // Opens a new connection in any case. Fails like Acquire().
  result<pooled_connection> Open(const std::string& address,
                                 milliseconds connect_timeout);
  // Makes a connection available for reuse. Over the bound per address, the
  // oldest idle connection is dropped.
  void Release(const std::string& address,
               const Poco::Net::StreamSocket& socket);
  // Drops all idle connections to `address`, for example after a failed
  // attempt.
  void CloseIdle(const std::string& address);

 private:
  struct idle_connection {
    Poco::Net::StreamSocket socket;
    time_point idle_since;
  };
  using idle_map = std::map<std::string, std::deque<idle_connection>>;

  std::optional<Poco::Net::StreamSocket> AcquireIdle(
      const std::string& address);

  const connection_opener& opener_;
  sharded<idle_map> idle_;
};

}  // namespace samphire

#endif  // PROXY_CONNECTION_POOL_H_
