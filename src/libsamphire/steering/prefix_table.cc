#include "steering/prefix_table.h"

#include <Poco/ByteOrder.h>

#include <cstring>
#include <utility>

namespace samphire {

namespace {

constexpr int kUpperBits = 64;
constexpr int kIpv4Bits = 32;

std::uint32_t Ipv4Of(const ip_address& address) {
  std::uint32_t number = 0;
  std::memcpy(&number, &address[kMappedPrefixBits / 8], sizeof(number));
  return Poco::ByteOrder::fromNetwork(number);
}

// Returns the 8 bytes from `first_byte` on as a number in host byte order.
std::uint64_t HalfAt(const ip_address& address, std::size_t first_byte) {
  Poco::UInt64 number = 0;
  std::memcpy(&number, &address[first_byte], sizeof(number));
  return Poco::ByteOrder::fromNetwork(number);
}

std::uint64_t UpperHalfOf(const ip_address& address) {
  return HalfAt(address, 0);
}

unsigned __int128 FullAddressOf(const ip_address& address) {
  return static_cast<unsigned __int128>(UpperHalfOf(address)) << kUpperBits |
         HalfAt(address, kUpperBits / 8);
}

// Returns the range of keys of `bits` bits that share the first `length` bits
// with `key`.
template <typename Key>
key_range<Key> RangeOf(Key key, int length, int bits, destination to) {
  const int free_bits = bits - length;
  const Key all_bits = static_cast<Key>(~Key{0});
  const Key low_bits = free_bits == bits
                           ? all_bits
                           : static_cast<Key>((Key{1} << free_bits) - Key{1});
  return {static_cast<Key>(key & static_cast<Key>(~low_bits)),
          static_cast<Key>(key | low_bits), to};
}

}  // namespace

// Splits the prefixes into three tables by the key size that they need: nearly
// all blocks are IPv4 (4 bytes per key) or IPv6 networks of up to 64 bits (8
// bytes per key). One table of 16-byte keys would take up to 36 bytes per
// block, half as much again as the 24 that fit into the memory of a small
// instance with 1.9 million blocks.
prefix_table::prefix_table(const std::vector<prefix_route>& routes) {
  std::vector<key_range<std::uint32_t>> ipv4;
  std::vector<key_range<std::uint64_t>> upper_halves;
  std::vector<key_range<wide_key>> full_addresses;
  for (const auto& route : routes) {
    const int length = route.prefix_length;
    if (IsMappedIpv4(route.address) && length >= kMappedPrefixBits) {
      ipv4.push_back(RangeOf(Ipv4Of(route.address), length - kMappedPrefixBits,
                             kIpv4Bits, route.to));
      continue;
    }
    if (length > kUpperBits) {
      full_addresses.push_back(RangeOf(FullAddressOf(route.address), length,
                                       kIpAddressBits, route.to));
      continue;
    }
    upper_halves.push_back(
        RangeOf(UpperHalfOf(route.address), length, kUpperBits, route.to));
  }
  ipv4_ = range_table(std::move(ipv4));
  upper_halves_ = range_table(std::move(upper_halves));
  full_addresses_ = range_table(std::move(full_addresses));
}

// Tries the tables from longer to shorter prefixes, and the first one that
// contains the address decides. An IPv4 address is also an IPv6 address in
// ::ffff:0:0/96, so that ::/0 covers all callers.
destination prefix_table::Find(const ip_address& address) const {
  if (!ipv4_.empty() && IsMappedIpv4(address)) {
    const auto found = ipv4_.Find(Ipv4Of(address));
    if (found != kNoDestination)
      return found;
  }
  if (!full_addresses_.empty()) {
    const auto found = full_addresses_.Find(FullAddressOf(address));
    if (found != kNoDestination)
      return found;
  }
  return upper_halves_.Find(UpperHalfOf(address));
}

std::size_t prefix_table::bytes() const {
  return sizeof(*this) + ipv4_.bytes() + upper_halves_.bytes() +
         full_addresses_.bytes();
}

}  // namespace samphire
