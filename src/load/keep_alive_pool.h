#ifndef LOAD_KEEP_ALIVE_POOL_H_
#define LOAD_KEEP_ALIVE_POOL_H_

#include <Poco/Net/HTTPClientSession.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "base/sharded.h"

namespace samphire {

// An open HTTP connection from a caller to an entry or a target.
struct pooled_connection {
  std::unique_ptr<Poco::Net::HTTPClientSession> session;
  // Whether it has carried a request before.
  bool reused = false;
  // When it was returned to the pool; set by Release.
  time_point idle_since;
};

// Pool of idle connections that are kept open between requests, grouped by
// source and destination. Thread-safe.
class keep_alive_pool {
 public:
  // Returns an idle connection, or opens a new one from the local IP address
  // `source` ("" for any) to the IP:PORT `destination`. The result belongs to
  // the calling thread until it is released or destroyed. Throws a
  // Poco::Exception if no connection can be opened within `timeout`.
  pooled_connection Acquire(const std::string& source,
                            const std::string& destination,
                            duration timeout);
  // Returns a connection to the pool. Only for connections on which the last
  // response was read completely; any other is destroyed instead.
  void Release(const std::string& source,
               const std::string& destination,
               pooled_connection connection);

 private:
  struct shard_state {
    std::map<std::string, std::vector<pooled_connection>> idle;
  };
  sharded<shard_state> shards_;
};

}  // namespace samphire

#endif  // LOAD_KEEP_ALIVE_POOL_H_
