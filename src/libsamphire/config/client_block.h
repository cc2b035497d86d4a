#ifndef CONFIG_CLIENT_BLOCK_H_
#define CONFIG_CLIENT_BLOCK_H_

#include <array>
#include <cstdint>
#include <string>

namespace samphire {

// A block of caller addresses (CIDR) and the region that these callers belong
// to.
struct client_block {
  // An IPv6 or IPv4-mapped IPv6 address in network byte order.
  std::array<std::uint8_t, 16> address{};
  // Number of prefix bits in the 128-bit form: an IPv4 /8 is stored as 104.
  std::uint8_t prefix_length = 0;
  // The name of the region.
  std::string region;

  bool operator==(const client_block&) const = default;
};

}  // namespace samphire

#endif  // CONFIG_CLIENT_BLOCK_H_
