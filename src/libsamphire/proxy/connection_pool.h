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
#include "proxy/connection_use.h"
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
    // Time since the end of that request.
    duration rested{0};
    // Time that opening the connection took: a round trip or a little more.
    duration opened_in{0};
  };

  // Time after which an idle connection is no longer reused. Targets close idle
  // connections after some seconds, and a request on a connection that is just
  // being closed would be a failed attempt.
  static constexpr milliseconds kMaxRest{2000};

  // `opener` must outlive the pool.
  explicit connection_pool(
      const connection_opener& opener = tcp_connection_opener::Default(),
      milliseconds max_rest = kMaxRest)
      : opener_(opener), max_rest_(max_rest) {}

  // Returns an idle connection that still appears open and that `use` allows,
  // or opens a new one. Fails with kTargetUnreachable if connecting fails or
  // exceeds the timeout.
  result<pooled_connection> Acquire(const std::string& address,
                                    milliseconds connect_timeout,
                                    connection_use use = connection_use::kAny);
  // Opens a new connection in any case. Fails like Acquire().
  result<pooled_connection> Open(const std::string& address,
                                 milliseconds connect_timeout);
  // Makes a connection available for reuse. Over the bound per address, the
  // oldest idle connection is dropped.
  void Release(const std::string& address, const pooled_connection& connection);
  // Reports that a connection which had rested for `rested` turned out to be
  // closed. For a while, connections that rest for half as long are not reused.
  void OnStale(const std::string& address, duration rested);
  // Closes all connections that have rested for too long to be reused, so that
  // those to targets that are gone don't use up the descriptors. Must be called
  // about once a second.
  void CloseRested();
  // Drops all idle connections to `address`, for example after a failed
  // attempt.
  void CloseIdle(const std::string& address);

 private:
  struct idle_connection {
    Poco::Net::StreamSocket socket;
    time_point idle_since;
    duration opened_in{0};
  };
  struct address_state {
    std::deque<idle_connection> idle;
    // A bound on the time that connections rest, which holds until
    // `max_rest_until`.
    duration max_rest{0};
    time_point max_rest_until;
  };
  using address_map = std::map<std::string, address_state>;

  std::optional<pooled_connection> AcquireIdle(const std::string& address,
                                               connection_use use);
  duration MaxRest(const address_state& state, time_point now) const;
  // Drops the address's connections that have rested for too long.
  void DropRested(address_state& state, time_point now) const;

  const connection_opener& opener_;
  const duration max_rest_;
  sharded<address_map> addresses_;
};

}  // namespace samphire

#endif  // PROXY_CONNECTION_POOL_H_
