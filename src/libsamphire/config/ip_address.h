#ifndef CONFIG_IP_ADDRESS_H_
#define CONFIG_IP_ADDRESS_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphire {

// An IPv6 or IPv4-mapped IPv6 address in network byte order.
using ip_address = std::array<std::uint8_t, 16>;

inline constexpr int kIpAddressBits = 128;
// Number of bits before an IPv4 address in its 128-bit, IPv4-mapped form.
inline constexpr int kMappedPrefixBits = 96;

// Parses a numeric IPv4 or IPv6 address. Returns nothing for abbreviated IPv4
// addresses, host names and other text.
std::optional<ip_address> ParseIpAddress(std::string_view text);
// Returns the text of an address, in dotted form if it is IPv4-mapped.
std::string FormatIpAddress(const ip_address& address);
bool IsMappedIpv4(const ip_address& address);

// Returns whether `text` is a numeric IP:PORT with a port other than 0. IPv6
// addresses must be in brackets.
bool IsSocketAddress(std::string_view text);

}  // namespace samphire

#endif  // CONFIG_IP_ADDRESS_H_
