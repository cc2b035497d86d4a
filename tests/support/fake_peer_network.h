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

// Datagrams between fake transports in simulated time, on one thread: with
// delay, loss, duplicates and cuts.
class fake_peer_network {
 public:
  explicit fake_peer_network(std::uint64_t seed) : random_(seed) {}

  // The rule for each datagram; by default 1 ms and no loss.
  std::function<duration(const std::string& from, const std::string& to)>
      delay = [](const auto&, const auto&) { return milliseconds(1); };
  double loss = 0;
  double duplicates = 0;
  // Whether nothing passes from one address to another.
  std::function<bool(const std::string& from, const std::string& to)> is_cut =
      [](const auto&, const auto&) { return false; };

  time_point now() const { return now_; }
  // Delivers what is due until `until`, which becomes the present.
  void RunUntil(time_point until);

  std::uint64_t messages() const { return messages_; }
  // Of payloads; the envelope around each adds `kEnvelopeBytes`.
  std::uint64_t payload_bytes() const { return payload_bytes_; }

  // Digest, endianness, sender of 12 characters, numbers, kind and length.
  static constexpr std::uint64_t kEnvelopeBytes = 32 + 1 + 13 + 24 + 1 + 2;

 private:
  friend class fake_peer_transport;

  struct datagram {
    std::string to;
    message_kind kind = message_kind::kProbe;
    peer_message message;
  };

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
