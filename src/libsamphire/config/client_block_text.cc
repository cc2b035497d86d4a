#include "config/client_block_text.h"

#include <fmt/format.h>

#include <charconv>

#include "config/ip_address.h"

namespace samphire {

namespace {

// A block such as 10.0.0.7/8 is most likely a typing error in one of its two
// halves; which one, nobody can tell, so it is refused instead of cut.
bool HasBitsBelow(const ip_address& address, int prefix_length) {
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
  const bool dotted = text.find(':') == std::string_view::npos;
  const int full_length = dotted ? length + kMappedPrefixBits : length;
  if (full_length > kIpAddressBits || HasBitsBelow(*address, full_length))
    return std::nullopt;
  client_block block;
  block.address = *address;
  block.prefix_length = static_cast<std::uint8_t>(full_length);
  return block;
}

std::string FormatClientBlock(const client_block& block) {
  const bool dotted =
      IsMappedIpv4(block.address) && block.prefix_length >= kMappedPrefixBits;
  return fmt::format("{}/{}", FormatIpAddress(block.address),
                     block.prefix_length - (dotted ? kMappedPrefixBits : 0));
}

}  // namespace samphire
