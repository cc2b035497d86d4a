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

std::uint64_t HalfOf(const ip_address& address, std::size_t first) {
  Poco::UInt64 number = 0;
  std::memcpy(&number, &address[first], sizeof(number));
  return Poco::ByteOrder::fromNetwork(number);
}

std::uint64_t UpperOf(const ip_address& address) {
  return HalfOf(address, 0);
}

unsigned __int128 WholeOf(const ip_address& address) {
  return static_cast<unsigned __int128>(UpperOf(address)) << kUpperBits |
         HalfOf(address, kUpperBits / 8);
}

// All keys that share the first `length` of `bits` bits with `key`.
template <typename Key>
key_range<Key> RangeOf(Key key, int length, int bits, destination to) {
  const int free_bits = bits - length;
  const Key all = static_cast<Key>(~Key{0});
  const Key low = free_bits == bits
                      ? all
                      : static_cast<Key>((Key{1} << free_bits) - Key{1});
  return {static_cast<Key>(key & static_cast<Key>(~low)),
          static_cast<Key>(key | low), to};
}

}  // namespace

// Three tables, by what a prefix needs: nearly all blocks are IPv4 (4 bytes a
// key) or IPv6 networks of up to 64 bits (8 bytes a key). One table of 16-byte
// keys would take up to 36 bytes a block, half as much again as the 24 that a
// small instance can hold for 1.9 million of them.
prefix_table::prefix_table(const std::vector<prefix_route>& routes) {
  std::vector<key_range<std::uint32_t>> ipv4;
  std::vector<key_range<std::uint64_t>> upper;
  std::vector<key_range<wide_key>> whole;
  for (const auto& route : routes) {
    const int length = route.prefix_length;
    if (IsMappedIpv4(route.address) && length >= kMappedPrefixBits) {
      ipv4.push_back(RangeOf(Ipv4Of(route.address), length - kMappedPrefixBits,
                             kIpv4Bits, route.to));
      continue;
    }
    if (length > kUpperBits) {
      whole.push_back(
          RangeOf(WholeOf(route.address), length, kIpAddressBits, route.to));
      continue;
    }
    upper.push_back(
        RangeOf(UpperOf(route.address), length, kUpperBits, route.to));
  }
  ipv4_ = range_table(std::move(ipv4));
  upper_ = range_table(std::move(upper));
  whole_ = range_table(std::move(whole));
}

// Longer prefixes first: the first table that knows the address decides. An
// IPv4 address is an IPv6 address in ::ffff:0:0/96 too, so that ::/0 covers
// everyone.
destination prefix_table::Find(const ip_address& address) const {
  if (!ipv4_.empty() && IsMappedIpv4(address)) {
    const auto found = ipv4_.Find(Ipv4Of(address));
    if (found != kNoDestination)
      return found;
  }
  if (!whole_.empty()) {
    const auto found = whole_.Find(WholeOf(address));
    if (found != kNoDestination)
      return found;
  }
  return upper_.Find(UpperOf(address));
}

std::size_t prefix_table::bytes() const {
  return sizeof(*this) + ipv4_.bytes() + upper_.bytes() + whole_.bytes();
}

}  // namespace samphire
