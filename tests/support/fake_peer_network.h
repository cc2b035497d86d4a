#ifndef SUPPORT_FAKE_PEER_NETWORK_H_
#define SUPPORT_FAKE_PEER_NETWORK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "base/clock_source.h"
#include "peer/message_kind.h"
#include "peer/peer_transport.h"

namespace samphire {

class fake_peer_transport;

// Network that carries datagrams between fake transports in simulated time,
// with delay, loss, duplicates and blocked links. Not thread-safe: the network
// and its transports belong to one thread. Random events depend only on the
// seed.
class fake_peer_network {
 public:
  explicit fake_peer_network(std::uint64_t seed) : random_(seed) {}

  // One-way delay of each datagram; by default 1 ms, and no loss.
  std::function<duration(const std::string& from, const std::string& to)>
      delay = [](const auto&, const auto&) { return milliseconds(1); };
  // Probability, 0 to 1, that a datagram is lost, or that it is delivered a
  // second time after twice the delay.
  double loss = 0;
  double duplicates = 0;
  // Returns whether the link from one address to another is blocked, so that
  // all datagrams in this direction are lost.
  std::function<bool(const std::string& from, const std::string& to)>
      is_blocked = [](const auto&, const auto&) { return false; };

  time_point now() const { return now_; }
  // Delivers all datagrams that are due by `until` in the order of time, then
  // sets the simulated time to it.
  void RunUntil(time_point until);

  // Number of datagrams sent, lost ones included.
  std::uint64_t messages() const { return messages_; }
  // Total size of the payloads sent; the envelope of each adds `kEnvelopeBytes`
  // on a real network.
  std::uint64_t payload_bytes() const { return payload_bytes_; }

  // Size of an envelope: digest, endianness, sender name of 12 characters with
  // its length, three numbers, message kind and payload length.
  static constexpr std::uint64_t kEnvelopeBytes = 32 + 1 + 13 + 24 + 1 + 2;

 private:
  friend class fake_peer_transport;

  struct datagram {
    std::string to;
    message_kind kind = message_kind::kProbe;
    peer_message message;
  };

  // Sends a datagram; it may get lost, delayed or duplicated.
  void Post(const std::string& from, datagram sent);
  bool Chance(double probability);

  std::mt19937_64 random_;
  time_point now_{std::chrono::hours(1)};
  std::map<std::string, fake_peer_transport*> transports_;
  std::multimap<time_point, datagram> in_flight_;
  std::uint64_t messages_ = 0;
  std::uint64_t payload_bytes_ = 0;
};

}  // namespace samphire

#endif  // SUPPORT_FAKE_PEER_NETWORK_H_
