#ifndef SUPPORT_RELAY_H_
#define SUPPORT_RELAY_H_

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace samphire {

// Simulates a network link to one address by forwarding TCP and UDP, with a
// delay, a block or a bandwidth that is set for each direction separately. Data
// whose delay has started is not dropped. A blocked direction of a TCP
// connection holds bytes back, as a dead link does, and doesn't close the
// connection. All members may be called from any thread.
class relay {
 public:
  // kForward is from the callers to the destination.
  enum class direction { kForward, kReturn };

  // Listens on one free port of `ip` for both TCP and UDP, and forwards to the
  // IP:PORT `destination`. Throws a Poco::Exception if it can't listen.
  relay(const std::string& ip, const std::string& destination);
  ~relay();
  relay(const relay&) = delete;
  relay& operator=(const relay&) = delete;

  // IP:PORT at which the relay listens.
  const std::string& address() const { return address_; }
  void SetDelay(direction direction, std::chrono::milliseconds delay);
  void SetBlocked(direction direction, bool blocked);
  // Limits the TCP bytes per second of all connections together; 0 for no
  // limit.
  void SetBandwidth(direction direction, std::int64_t bytes_per_second);
  // Resets every open TCP connection.
  void ResetConnections();
  // Number of datagrams dropped because the forward direction was blocked.
  int dropped_datagrams() const { return dropped_datagrams_; }

 private:
  struct direction_state {
    std::atomic<std::int64_t> delay_ms{0};
    std::atomic<bool> blocked{false};
    std::atomic<std::int64_t> bytes_per_second{0};
    std::mutex lock;
    // When the link has sent all that was given to it; guarded by `lock`.
    std::chrono::steady_clock::time_point free_at;
  };

  direction_state& State(direction direction);
  // Blocks for the delay, and while the direction is blocked. Returns false if
  // the relay is destroyed meanwhile.
  bool WaitToForward(direction direction);
  // Blocks until the link has sent `bytes` more.
  void WaitForBandwidth(direction direction, int bytes);
  void AcceptConnections();
  void ForwardStream(Poco::Net::StreamSocket from,
                     Poco::Net::StreamSocket to,
                     direction direction);
  void ForwardDatagrams();
  void ReturnDatagrams(Poco::Net::DatagramSocket from,
                       const Poco::Net::SocketAddress& to);
  void Spawn(std::thread thread);

  const Poco::Net::SocketAddress destination_;
  Poco::Net::ServerSocket server_;
  Poco::Net::DatagramSocket datagrams_;
  std::string address_;
  direction_state forward_;
  direction_state return_;
  std::atomic<int> dropped_datagrams_{0};
  std::atomic<bool> stopping_{false};
  // Number of calls to ResetConnections. A connection is reset when the number
  // has changed since it was opened.
  std::atomic<int> resets_{0};
  // Guards `threads_`.
  std::mutex lock_;
  std::vector<std::thread> threads_;
};

}  // namespace samphire

#endif  // SUPPORT_RELAY_H_
