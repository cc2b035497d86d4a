#ifndef PEER_UDP_PEER_TRANSPORT_H_
#define PEER_UDP_PEER_TRANSPORT_H_

#include <Poco/Net/DatagramSocket.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "base/clock_source.h"
#include "metrics/metrics.h"
#include "peer/peer_keys.h"
#include "peer/peer_transport.h"
#include "peer/replay_guard.h"

namespace samphire {

// A peer_transport over UDP that signs messages and protects them against
// replay. Send and OnMessage may be called from any thread; one thread of the
// transport's own receives and runs the handlers until destruction.
class udp_peer_transport final : public peer_transport {
 public:
  // Binds `address` (IP:PORT; port 0 selects a free one), but receives only
  // after Start. `sender` is the name of this instance. Throws
  // Poco::Net::NetException when the address cannot be bound. `clock` and
  // `registry` must outlive this object.
  udp_peer_transport(const std::string& address,
                     std::string sender,
                     std::uint64_t incarnation,
                     peer_keys keys,
                     const clock_source& clock,
                     metrics& registry);
  ~udp_peer_transport() override;

  result<void> Send(const std::string& address,
                    message_kind kind,
                    const std::string& payload) override;
  void OnMessage(message_kind kind, handler receive) override;

  // Starts the receiving thread. To be called once.
  void Start();
  // The bound address, IP:PORT, by which peers reach this transport. Part of
  // the text that peers sign.
  const std::string& address() const { return address_; }

 private:
  static constexpr std::size_t kMessageKindCount =
      static_cast<std::size_t>(kLastMessageKind) + 1;

  // Receives until `stop` is requested.
  void Run(const std::stop_token& stop);
  void ReceiveOne();
  // Verifies a datagram, checks it for replay and runs its handler.
  void Accept(std::string_view datagram, std::string from);
  // Counts a rejected datagram by its reason.
  void CountDropped(const error& reason);

  Poco::Net::DatagramSocket socket_;
  std::string address_;
  const std::string sender_;
  const std::uint64_t incarnation_;
  const peer_keys keys_;
  const clock_source& clock_;
  metrics& metrics_;
  std::atomic<std::uint64_t> sequence_{0};
  std::mutex handlers_lock_;
  std::array<handler, kMessageKindCount> handlers_;
  // Accessed by the receiving thread only.
  replay_guard replay_guard_;
  // Declared last, so that it is joined before the members it uses are
  // destroyed.
  std::jthread receiver_;
};

}  // namespace samphire

#endif  // PEER_UDP_PEER_TRANSPORT_H_
