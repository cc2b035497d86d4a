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

// A caller's open connection to an entry or a target.
struct caller_connection {
  std::unique_ptr<Poco::Net::HTTPClientSession> session;
  // Whether it carried a request before.
  bool reused = false;
  time_point idle_since;
};

// Connections kept open between requests, by source and destination.
class keep_alive_pool {
 public:
  // An idle connection, or a new one from `source` ("" for any). Throws a
  // Poco::Exception when none can be made within `timeout`.
  caller_connection Take(const std::string& source,
                         const std::string& destination,
                         duration timeout);
  void GiveBack(const std::string& source,
                const std::string& destination,
                caller_connection connection);

 private:
  struct shard_state {
    std::map<std::string, std::vector<caller_connection>> idle;
  };
  sharded<shard_state> shards_;
};

}  // namespace samphire

#endif  // LOAD_KEEP_ALIVE_POOL_H_
