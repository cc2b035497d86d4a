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

namespace samphire {

// Idle connections to targets and peers, by address. Only a connection whose
// last answer was read to its end may come back here.
class connection_pool {
 public:
  struct pooled_connection {
    Poco::Net::StreamSocket socket;
    bool reused = false;
  };

  // An idle connection that still looks open, or a new one.
  result<pooled_connection> Take(const std::string& address,
                                 milliseconds connect_timeout);
  // Always a new one.
  static result<pooled_connection> Open(const std::string& address,
                                        milliseconds connect_timeout);
  void Give(const std::string& address, const Poco::Net::StreamSocket& socket);
  void Forget(const std::string& address);

 private:
  struct idle_connection {
    Poco::Net::StreamSocket socket;
    time_point since;
  };
  using idle_map = std::map<std::string, std::deque<idle_connection>>;

  std::optional<Poco::Net::StreamSocket> TakeIdle(const std::string& address);

  sharded<idle_map> idle_;
};

}  // namespace samphire

#endif  // PROXY_CONNECTION_POOL_H_
