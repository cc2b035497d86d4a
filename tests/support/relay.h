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

// A stretch of network between two addresses: passes TCP and UDP on, late or
// not at all, each way by itself. It drops nothing that it has begun to
// delay; a cut TCP way holds bytes back as a dead link does, it doesn't close.
class relay {
 public:
  enum class way { kThere, kBack };

  // Listens on a free port of `ip` for TCP and UDP.
  relay(const std::string& ip, const std::string& destination);
  ~relay();
  relay(const relay&) = delete;
  relay& operator=(const relay&) = delete;

  const std::string& address() const { return address_; }
  void SetDelay(way way, std::chrono::milliseconds delay);
  void SetCut(way way, bool cut);
  // Resets every open connection.
  void ResetConnections();
  // Datagrams that the cut way there took.
  int lost_datagrams() const { return lost_datagrams_; }

 private:
  struct way_state {
    std::atomic<std::int64_t> delay_ms{0};
    std::atomic<bool> cut{false};
  };

  way_state& State(way way);
  // Waits out delay and cut; false when the relay ends meanwhile.
  bool Pass(way way);
  void Accept();
  void Pump(Poco::Net::StreamSocket from, Poco::Net::StreamSocket to, way way);
  void PumpDatagrams();
  void PumpDatagramsBack(Poco::Net::DatagramSocket from,
                         const Poco::Net::SocketAddress& to);
  void Spawn(std::thread thread);

  const Poco::Net::SocketAddress destination_;
  Poco::Net::ServerSocket server_;
  Poco::Net::DatagramSocket datagrams_;
  std::string address_;
  way_state there_;
  way_state back_;
  std::atomic<int> lost_datagrams_{0};
  std::atomic<bool> stopping_{false};
  // Connections that were opened before the last reset end with it.
  std::atomic<int> resets_{0};
  std::mutex lock_;
  std::vector<std::thread> threads_;
};

}  // namespace samphire

#endif  // SUPPORT_RELAY_H_
