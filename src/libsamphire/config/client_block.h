#ifndef CONFIG_CLIENT_BLOCK_H_
#define CONFIG_CLIENT_BLOCK_H_

#include <array>
#include <cstdint>
#include <string>

namespace samphire {

// A block of caller addresses and the region they belong to.
struct client_block {
  // IPv6, or IPv4 mapped into it, in network byte order.
  std::array<std::uint8_t, 16> address{};
  // Counted in the 128-bit form: an IPv4 /8 is 104.
  std::uint8_t prefix_length = 0;
  std::string region;

  bool operator==(const client_block&) const = default;
};

}  // namespace samphire

#endif  // CONFIG_CLIENT_BLOCK_H_
