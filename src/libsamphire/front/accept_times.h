#ifndef FRONT_ACCEPT_TIMES_H_
#define FRONT_ACCEPT_TIMES_H_

#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <mutex>
#include <unordered_map>

#include "base/clock_source.h"

namespace samphire {

// When the connections of a port that wait for a thread were accepted.
// Thread-safe.
class accept_times {
 public:
  // Called when a connection is accepted.
  void OnAccepted(const Poco::Net::StreamSocket& socket);
  // Returns the number of connections that wait for a thread.
  std::size_t waiting() const;
  // Returns when the connection was accepted, and forgets it; now if that is
  // not known. Called by the connection's thread, and when it gets none.
  time_point Take(const Poco::Net::StreamSocket& socket);

 private:
  mutable std::mutex lock_;
  // By descriptor, which belongs to one open connection at a time.
  std::unordered_map<int, time_point> accepted_;
};

}  // namespace samphire

#endif  // FRONT_ACCEPT_TIMES_H_
