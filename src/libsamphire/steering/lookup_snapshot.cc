#include "steering/lookup_snapshot.h"

#include <unordered_map>

namespace samphire {

namespace {

std::vector<std::string> RegionNames(const declaration& declared) {
  std::vector<std::string> names;
  for (const auto& one : declared.regions)
    names.push_back(one.name);
  return names;
}

// Blocks name their region, the table numbers it: the name is looked up once
// here instead of kept a million times.
prefix_table BlockTable(const declaration& declared,
                        const std::vector<std::string>& regions) {
  std::unordered_map<std::string_view, destination> numbers;
  for (std::size_t i = 0; i < regions.size(); ++i)
    numbers.emplace(regions[i], static_cast<destination>(i));
  std::vector<prefix_route> routes;
  routes.reserve(declared.client_blocks.size());
  for (const auto& block : declared.client_blocks) {
    const auto number = numbers.find(block.region);
    if (number != numbers.end())
      routes.push_back({block.address, block.prefix_length, number->second});
  }
  return prefix_table(routes);
}

}  // namespace

lookup_snapshot::lookup_snapshot(const declaration& declared,
                                 std::uint64_t version)
    : regions_(RegionNames(declared)),
      default_region_(declared.default_region),
      blocks_(BlockTable(declared, regions_)),
      order_(declared),
      ttl_(declared.limits.lookup_ttl),
      version_(version) {}

const std::string& lookup_snapshot::RegionOf(const ip_address& address) const {
  const auto found = blocks_.Find(address);
  return found == kNoDestination ? default_region_ : regions_[found];
}

}  // namespace samphire
