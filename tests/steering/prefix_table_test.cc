#include "steering/prefix_table.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstring>
#include <vector>

using namespace samphire;

namespace {

bool Covers(const prefix_route& route, const ip_address& address) {
  for (int bit = 0; bit < route.prefix_length; ++bit) {
    const int shift = 7 - bit % 8;
    if ((route.address[bit / 8] >> shift & 1) !=
        (address[bit / 8] >> shift & 1))
      return false;
  }
  return true;
}

// Finds the longest prefix by trying all of them; of two equal ones the later.
destination LinearFind(const std::vector<prefix_route>& routes,
                       const ip_address& address) {
  const prefix_route* best = nullptr;
  for (const auto& route : routes) {
    if (Covers(route, address) &&
        (best == nullptr || route.prefix_length >= best->prefix_length))
      best = &route;
  }
  return best == nullptr ? kNoDestination : best->to;
}

// Draws from a small set of addresses, so that blocks often nest, adjoin and
// repeat.
ip_address GeneratedAddress() {
  ip_address address{};
  if (*rc::gen::arbitrary<bool>())
    address = *ParseIpAddress("0.0.0.0");
  const auto bytes = *rc::gen::container<std::vector<int>>(
      6, rc::gen::element(0, 1, 2, 128, 255));
  for (const auto at : {0, 7, 8, 12, 14, 15}) {
    const bool mapped = IsMappedIpv4(address);
    if (!mapped || at >= 12)
      address[at] = static_cast<std::uint8_t>(bytes[at % 6]);
  }
  return address;
}

prefix_route GeneratedRoute() {
  prefix_route route;
  route.address = GeneratedAddress();
  const int lowest = IsMappedIpv4(route.address) ? 90 : 0;
  route.prefix_length =
      static_cast<std::uint8_t>(*rc::gen::inRange(lowest, kIpAddressBits + 1));
  route.to = static_cast<destination>(*rc::gen::inRange(0, 4100));
  return route;
}

// Returns the first and last address of a block and their neighbours outside,
// where an off-by-one error would show.
std::vector<ip_address> EdgesOf(const prefix_route& route) {
  ip_address first = route.address;
  ip_address last = route.address;
  for (int bit = route.prefix_length; bit < kIpAddressBits; ++bit) {
    const auto mask = static_cast<std::uint8_t>(1 << (7 - bit % 8));
    first[bit / 8] &= static_cast<std::uint8_t>(~mask);
    last[bit / 8] |= mask;
  }
  ip_address next = last;
  for (int at = 15; at >= 0 && ++next[at] == 0; --at) {
  }
  ip_address previous = first;
  for (int at = 15; at >= 0 && previous[at]-- == 0; --at) {
  }
  return {first, last, next, previous};
}

}  // namespace

TEST_CASE("the table finds the same as a linear search over all prefixes") {
  CHECK(rc::check([] {
    std::vector<prefix_route> routes;
    const auto count = *rc::gen::inRange<std::size_t>(0, 120);
    routes.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
      routes.push_back(GeneratedRoute());
    const prefix_table table(routes);
    for (int i = 0; i < 20; ++i) {
      const auto address = GeneratedAddress();
      RC_ASSERT(table.Find(address) == LinearFind(routes, address));
    }
    for (const auto& route : routes) {
      for (const auto& address : EdgesOf(route))
        RC_ASSERT(table.Find(address) == LinearFind(routes, address));
    }
  }));
}

TEST_CASE(
    "a table of many blocks stays within its memory bound and finds each") {
  std::vector<prefix_route> routes;
  constexpr std::uint32_t kBlocks = 50'000;
  for (std::uint32_t i = 0; i < kBlocks; ++i) {
    prefix_route route;
    // No two blocks adjoin, so that each takes two flat ranges.
    route.address = {0x20,
                     0x01,
                     static_cast<std::uint8_t>(i >> 8),
                     static_cast<std::uint8_t>(i),
                     0,
                     1};
    route.prefix_length = 48;
    route.to = static_cast<destination>(i % 4100);
    routes.push_back(route);
  }
  const prefix_table table(routes);
  CHECK(static_cast<double>(table.bytes()) / kBlocks < 24);
  for (const auto& route : routes) {
    auto address = route.address;
    address[15] = 9;
    REQUIRE(table.Find(address) == route.to);
    address[5] = 0;
    REQUIRE(table.Find(address) == kNoDestination);
  }
}
