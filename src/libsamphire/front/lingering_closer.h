#ifndef FRONT_LINGERING_CLOSER_H_
#define FRONT_LINGERING_CLOSER_H_

#include <Poco/Net/StreamSocket.h>

#include <deque>
#include <mutex>
#include <thread>
#include <vector>

#include "base/clock_source.h"

namespace samphire {

// Closes connections on which the last response was sent, so that the response
// arrives: discards input in a thread of its own until the caller closes its
// side or a bounded time has passed. Thread-safe; no call blocks.
class lingering_closer {
 public:
  lingering_closer() = default;
  // Closes all connections.
  ~lingering_closer();
  lingering_closer(const lingering_closer&) = delete;
  lingering_closer& operator=(const lingering_closer&) = delete;

  // Ends the sending side of the connection and takes it over. Of too many
  // connections, the oldest is closed.
  void Add(const Poco::Net::StreamSocket& socket);
  // Returns the number of connections that are not closed yet.
  std::size_t open() const;

 private:
  struct lingering_connection {
    Poco::Net::StreamSocket socket;
    time_point until;
  };

  // The caller must hold lock_.
  void StartThread();
  void Run(const std::stop_token& stop);
  // Takes the connections that are left; empty if the thread is to end.
  std::vector<lingering_connection> Take();
  void Return(std::vector<lingering_connection> rest);

  mutable std::mutex lock_;
  std::deque<lingering_connection> added_;
  std::size_t taken_ = 0;
  bool is_running_ = false;
  // Exists from the first connection that lingers.
  std::jthread thread_;
};

}  // namespace samphire

#endif  // FRONT_LINGERING_CLOSER_H_
