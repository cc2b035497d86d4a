#include "steering/home_region_table.h"

#include <string_view>
#include <unordered_map>

namespace samphire {

namespace {

std::vector<std::string> NamesOf(const std::vector<region>& regions) {
  std::vector<std::string> names;
  names.reserve(regions.size());
  for (const auto& each : regions)
    names.push_back(each.name);
  return names;
}

// Blocks refer to their regions by name, the prefix table by index: looking the
// names up once here saves storing them a million times.
prefix_table PrefixTableOf(const std::vector<std::string>& regions,
                           const home_region_table::block_source& blocks) {
  std::unordered_map<std::string_view, destination> destinations;
  for (std::size_t i = 0; i < regions.size(); ++i)
    destinations.emplace(regions[i], static_cast<destination>(i));
  std::size_t count = 0;
  blocks([&](const client_block&) { ++count; });
  std::vector<prefix_route> routes;
  routes.reserve(count);
  blocks([&](const client_block& block) {
    const auto destination_of_region = destinations.find(block.region);
    if (destination_of_region != destinations.end())
      routes.push_back(
          {block.address, block.prefix_length, destination_of_region->second});
  });
  return prefix_table(routes);
}

}  // namespace

home_region_table::home_region_table(const std::vector<region>& regions,
                                     const block_source& blocks)
    : regions_(NamesOf(regions)), prefixes_(PrefixTableOf(regions_, blocks)) {}

const std::string* home_region_table::RegionOf(
    const ip_address& address) const {
  const auto found = prefixes_.Find(address);
  return found == kNoDestination ? nullptr : &regions_[found];
}

}  // namespace samphire
