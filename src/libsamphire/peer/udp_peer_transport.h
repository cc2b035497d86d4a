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

// Peer messages over UDP, signed and guarded against replay.
class udp_peer_transport final : public peer_transport {
 public:
  // Binds `address` (port 0: any) but receives only after Start. Throws
  // Poco::Net::NetException when the address can't be bound.
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

  void Start();
  // The address that peers reach this transport by.
  const std::string& address() const { return address_; }

 private:
  static constexpr std::size_t kKinds =
      static_cast<std::size_t>(kLastMessageKind) + 1;

  void Run(const std::stop_token& stop);
  void ReceiveOne();
  void Accept(std::string_view datagram, std::string from);
  void Drop(const error& reason);

  Poco::Net::DatagramSocket socket_;
  std::string address_;
  const std::string sender_;
  const std::uint64_t incarnation_;
  const peer_keys keys_;
  const clock_source& clock_;
  metrics& metrics_;
  std::atomic<std::uint64_t> sequence_{0};
  std::mutex handlers_lock_;
  std::array<handler, kKinds> handlers_;
  // Used by the receiving thread only.
  replay_guard guard_;
  std::jthread receiver_;
};

}  // namespace samphire

#endif  // PEER_UDP_PEER_TRANSPORT_H_
