#ifndef CONFIG_IP_ADDRESS_H_
#define CONFIG_IP_ADDRESS_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphire {

// IPv6, or IPv4 mapped into it, in network byte order.
using ip_address = std::array<std::uint8_t, 16>;

inline constexpr int kIpAddressBits = 128;
// How many bits precede an IPv4 address in its 128-bit form.
inline constexpr int kMappedPrefixBits = 96;

std::optional<ip_address> ParseIpAddress(std::string_view text);
std::string FormatIpAddress(const ip_address& address);
bool IsMappedIpv4(const ip_address& address);

// Whether `text` is IP:PORT by number, IPv6 in brackets.
bool IsSocketAddress(std::string_view text);

}  // namespace samphire

#endif  // CONFIG_IP_ADDRESS_H_
