#include "config/ip_address.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace samphire {

namespace {

constexpr ip_address kMappedPrefix{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};
constexpr std::size_t kMappedBytes = kMappedPrefixBits / 8;
// Bounds the text that is parsed; the longest text form of an address is
// shorter.
constexpr std::size_t kMaxAddressTextBytes = 64;
constexpr std::uint32_t kMaxPort = 65535;

// Returns whether `text` is a decimal port number other than 0.
bool IsPort(std::string_view text) {
  std::uint32_t port = 0;
  const auto [end, failure] =
      std::from_chars(text.data(), text.data() + text.size(), port);
  return failure == std::errc() && end == text.data() + text.size() &&
         port > 0 && port <= kMaxPort;
}

}  // namespace

// Uses inet_pton, which is strict. POCO's IPAddress accepts "1" and "127.1" as
// addresses, as inet_aton does, so a typing error in a declaration could route
// the callers of a different network.
std::optional<ip_address> ParseIpAddress(std::string_view text) {
  if (text.size() > kMaxAddressTextBytes)
    return std::nullopt;
  const std::string terminated(text);
  if (terminated.find('\0') != std::string::npos)
    return std::nullopt;
  ip_address parsed = kMappedPrefix;
  if (inet_pton(AF_INET, terminated.c_str(), &parsed[kMappedBytes]) == 1)
    return parsed;
  if (inet_pton(AF_INET6, terminated.c_str(), parsed.data()) == 1)
    return parsed;
  return std::nullopt;
}

std::string FormatIpAddress(const ip_address& address) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (IsMappedIpv4(address))
    inet_ntop(AF_INET, &address[kMappedBytes], text.data(), text.size());
  else
    inet_ntop(AF_INET6, address.data(), text.data(), text.size());
  return text.data();
}

bool IsMappedIpv4(const ip_address& address) {
  return std::equal(address.begin(), address.begin() + kMappedBytes,
                    kMappedPrefix.begin());
}

bool IsSocketAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos || !IsPort(text.substr(colon + 1)))
    return false;
  const auto host = text.substr(0, colon);
  const bool bracketed = host.starts_with('[') && host.ends_with(']');
  const auto parsed =
      ParseIpAddress(bracketed ? host.substr(1, host.size() - 2) : host);
  // Without brackets, the port cannot be distinguished from the last group of
  // an IPv6 address.
  return parsed && (bracketed || host.find(':') == std::string_view::npos);
}

}  // namespace samphire
