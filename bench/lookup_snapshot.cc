// Measures the prefix table from client blocks to destinations at four sizes:
// look-ups per second on one core, bytes per block and build time, with
// straight-line fits over the sizes; then complete look-up responses per
// second. Fails when a block takes 24 bytes or more, or when the table is not
// clearly faster than a plain binary search in the same run. scripts/capacity
// reads the "blocks" and "fit:" lines.
//   bench_lookup_snapshot --blocks=1900000 --sites=4100
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <random>
#include <utility>
#include <vector>

#include "base/clock_source.h"
#include "config/declaration.h"
#include "line_fit.h"
#include "steering/lookup_composer.h"
#include "steering/prefix_table.h"

ABSL_FLAG(std::uint32_t,
          blocks,
          1'900'000,
          "number of client blocks at the largest size");
ABSL_FLAG(std::uint32_t, sites, 4100, "number of destinations");
ABSL_FLAG(std::uint32_t, lookups, 4'000'000, "look-ups at each size");
ABSL_FLAG(std::uint32_t, ipv6_percent, 30, "share of IPv6 blocks, in percent");
ABSL_FLAG(std::uint64_t,
          seed,
          20261202,
          "seed of the random blocks and callers");

namespace samphire {

namespace {

using random_engine = std::mt19937_64;

// Results at one size.
struct measurement {
  double blocks = 0;
  double bytes = 0;
  double build_seconds = 0;
  double lookups_per_second = 0;
  double binary_searches_per_second = 0;
  // Sum of the results, which keeps the compiler from removing the look-ups.
  std::uint64_t checksum = 0;
};

// A small instance can hold 1.9 million blocks at this size. Exclusive.
constexpr double kMaxBytesPerBlock = 24;
// Lower bound of the table's look-up rate over that of a plain binary search.
// The usual ratio lies well above; below this bound the levels of range_table
// would bring no benefit.
constexpr double kMinRatioToBinarySearch = 1.2;

// Draws a block with prefix lengths as they occur in practice: mostly /24 and
// /48, some far shorter, so that blocks nest.
prefix_route RandomRoute(random_engine& random) {
  constexpr std::array<int, 8> kIpv4Lengths{24, 24, 24, 24, 22, 20, 16, 28};
  constexpr std::array<int, 8> kIpv6Lengths{48, 48, 48, 56, 64, 40, 32, 48};
  prefix_route route;
  const auto number = random();
  const bool ipv6 = random() % 100 < absl::GetFlag(FLAGS_ipv6_percent);
  if (ipv6) {
    for (std::size_t i = 0; i < 8; ++i)
      route.address[i] = static_cast<std::uint8_t>(number >> (8 * i));
    route.address[0] = 0x20;
    route.address[1] &= 0x0f;
  } else {
    route.address[10] = route.address[11] = 0xff;
    for (std::size_t i = 0; i < 4; ++i)
      route.address[12 + i] = static_cast<std::uint8_t>(number >> (8 * i));
  }
  const auto pick = random() % kIpv4Lengths.size();
  route.prefix_length = static_cast<std::uint8_t>(
      ipv6 ? kIpv6Lengths[pick] : kMappedPrefixBits + kIpv4Lengths[pick]);
  route.to = static_cast<destination>(random() % absl::GetFlag(FLAGS_sites));
  return route;
}

// Draws caller addresses. Three of four lie in a declared block, as in real
// traffic.
std::vector<ip_address> RandomCallers(const std::vector<prefix_route>& routes,
                                      random_engine& random) {
  constexpr std::size_t kCallers = 1 << 20;
  std::vector<ip_address> callers;
  callers.reserve(kCallers);
  for (std::size_t i = 0; i < kCallers; ++i) {
    auto caller = random() % 4 == 0 ? RandomRoute(random).address
                                    : routes[random() % routes.size()].address;
    caller[15] = static_cast<std::uint8_t>(random());
    callers.push_back(caller);
  }
  return callers;
}

double SecondsSince(time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

// Measures the baseline: std::upper_bound over as many sorted 64-bit keys as
// there are blocks. Returns searches per second.
double BinarySearchesPerSecond(const std::vector<prefix_route>& routes,
                               const std::vector<ip_address>& callers) {
  const auto key_of = [](const ip_address& address) {
    std::uint64_t key = 0;
    std::memcpy(&key, &address[8], sizeof(key));
    std::uint64_t upper = 0;
    std::memcpy(&upper, address.data(), sizeof(upper));
    return key ^ upper;
  };
  std::vector<std::uint64_t> keys;
  keys.reserve(routes.size());
  for (const auto& route : routes)
    keys.push_back(key_of(route.address));
  std::sort(keys.begin(), keys.end());
  const auto searches = absl::GetFlag(FLAGS_lookups) / 4;
  std::ptrdiff_t checksum = 0;
  const auto start = std::chrono::steady_clock::now();
  for (std::uint32_t i = 0; i < searches; ++i) {
    checksum += std::upper_bound(keys.begin(), keys.end(),
                                 key_of(callers[i % callers.size()])) -
                keys.begin();
  }
  const double rate = searches / SecondsSince(start);
  return checksum == 0 ? 0 : rate;
}

// Measures complete look-up responses, from address to JSON text, for the fleet
// size expected in two years: 2,800 entries in 24 regions.
void MeasureResponses() {
  constexpr int kRegions = 24;
  constexpr int kEntries = 2800;
  constexpr int kResponses = 100'000;
  declaration declared;
  std::vector<live_entry> entries;
  entries.reserve(kEntries);
  for (int i = 0; i < kRegions; ++i)
    declared.regions.push_back({fmt::format("region-{}", i), {}, 4});
  declared.default_region = "region-0";
  for (int i = 0; i < kEntries; ++i) {
    entries.push_back({fmt::format("entry-{}", i), "127.0.0.1:8000",
                       fmt::format("region-{}", i % kRegions), false, 0.5});
  }
  const lookup_snapshot snapshot(declared, 1);
  const entry_directory directory(entries);
  random_engine random(absl::GetFlag(FLAGS_seed));
  std::size_t bytes = 0;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kResponses; ++i) {
    bytes +=
        WriteLookupResponse(ComposeLookupResponse(snapshot, directory,
                                                  RandomRoute(random).address))
            .size();
  }
  const double rate = kResponses / SecondsSince(start);
  fmt::print("answers/s {:.0f} with {} entries, {} bytes each\n", rate,
             kEntries, bytes / kResponses);
}

// Builds a table of that many blocks and measures it.
measurement Measure(std::uint32_t blocks) {
  random_engine random(absl::GetFlag(FLAGS_seed));
  std::vector<prefix_route> routes;
  for (std::uint32_t i = 0; i < blocks; ++i)
    routes.push_back(RandomRoute(random));
  const auto callers = RandomCallers(routes, random);

  measurement measured;
  measured.blocks = blocks;
  const auto build_start = std::chrono::steady_clock::now();
  const prefix_table table(routes);
  measured.build_seconds = SecondsSince(build_start);
  measured.bytes = static_cast<double>(table.bytes());

  const auto lookups = absl::GetFlag(FLAGS_lookups);
  const auto start = std::chrono::steady_clock::now();
  for (std::uint32_t i = 0; i < lookups; ++i)
    measured.checksum += table.Find(callers[i % callers.size()]);
  measured.lookups_per_second = lookups / SecondsSince(start);
  measured.binary_searches_per_second =
      BinarySearchesPerSecond(routes, callers);
  return measured;
}

// Fits a straight line to one value over the number of blocks.
line_fit FitOf(const std::vector<measurement>& all,
               double measurement::*value) {
  std::vector<std::pair<double, double>> points;
  points.reserve(all.size());
  for (const auto& one : all)
    points.emplace_back(one.blocks, one.*value);
  return FitLine(points);
}

// Returns whether size and speed keep to their bounds.
bool Run() {
  std::vector<measurement> all;
  for (const std::uint32_t divisor : {8, 4, 2, 1}) {
    all.push_back(Measure(absl::GetFlag(FLAGS_blocks) / divisor));
    const auto& one = all.back();
    fmt::print(
        "blocks {:>8.0f}  look-ups/s {:>9.0f}  plain {:>9.0f}  bytes/block "
        "{:>5.2f}  build {:.3f} s  checksum {}\n",
        one.blocks, one.lookups_per_second, one.binary_searches_per_second,
        one.bytes / one.blocks, one.build_seconds, one.checksum);
  }
  const auto bytes = FitOf(all, &measurement::bytes);
  const auto build = FitOf(all, &measurement::build_seconds);
  fmt::print("fit: bytes = {:.0f} + {:.2f} a block\n", bytes.intercept,
             bytes.slope);
  fmt::print("fit: build = {:.3f} s + {:.0f} ns a block\n", build.intercept,
             build.slope * 1e9);
  MeasureResponses();
  return all.back().bytes < kMaxBytesPerBlock * all.back().blocks &&
         all.back().lookups_per_second >
             kMinRatioToBinarySearch * all.back().binary_searches_per_second;
}

}  // namespace

}  // namespace samphire

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Measures the prefix table behind look-ups.");
  absl::ParseCommandLine(argc, argv);
  return samphire::Run() ? 0 : 1;
}
