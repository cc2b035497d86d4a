#include "config/client_block_text.h"

#include <fmt/format.h>

#include <charconv>

#include "config/ip_address.h"

namespace samphire {

namespace {

// Returns whether bits after the prefix are set. A block such as 10.0.0.7/8
// most likely has a typing error in its address or in its length. Which of them
// is wrong cannot be determined, so the block is refused instead of masked.
bool HasHostBits(const ip_address& address, int prefix_length) {
  for (int bit = prefix_length; bit < kIpAddressBits; ++bit) {
    if ((address[bit / 8] >> (7 - bit % 8) & 1) != 0)
      return true;
  }
  return false;
}

}  // namespace

std::optional<client_block> ParseClientBlock(std::string_view text) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos)
    return std::nullopt;
  const auto digits = text.substr(slash + 1);
  const auto address = ParseIpAddress(text.substr(0, slash));
  int length = 0;
  const auto [end, failure] =
      std::from_chars(digits.data(), digits.data() + digits.size(), length);
  if (!address || failure != std::errc() ||
      end != digits.data() + digits.size() || length < 0)
    return std::nullopt;
  const bool is_ipv4 = text.find(':') == std::string_view::npos;
  const int mapped_length = is_ipv4 ? length + kMappedPrefixBits : length;
  if (mapped_length > kIpAddressBits || HasHostBits(*address, mapped_length))
    return std::nullopt;
  client_block block;
  block.address = *address;
  block.prefix_length = static_cast<std::uint8_t>(mapped_length);
  return block;
}

std::string FormatClientBlock(const client_block& block) {
  const bool is_ipv4 =
      IsMappedIpv4(block.address) && block.prefix_length >= kMappedPrefixBits;
  return fmt::format("{}/{}", FormatIpAddress(block.address),
                     block.prefix_length - (is_ipv4 ? kMappedPrefixBits : 0));
}

}  // namespace samphire
