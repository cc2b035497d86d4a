#include "steering/block_table.h"

#include <string_view>
#include <unordered_map>

namespace samphire {

namespace {

std::vector<std::string> NamesOf(const std::vector<region>& regions) {
  std::vector<std::string> names;
  names.reserve(regions.size());
  for (const auto& one : regions)
    names.push_back(one.name);
  return names;
}

// Blocks name their region, the table numbers it: the name is looked up once
// here instead of kept a million times.
prefix_table TableOf(const std::vector<std::string>& regions,
                     const block_table::block_source& blocks) {
  std::unordered_map<std::string_view, destination> numbers;
  for (std::size_t i = 0; i < regions.size(); ++i)
    numbers.emplace(regions[i], static_cast<destination>(i));
  std::size_t count = 0;
  blocks([&](const client_block&) { ++count; });
  std::vector<prefix_route> routes;
  routes.reserve(count);
  blocks([&](const client_block& block) {
    const auto number = numbers.find(block.region);
    if (number != numbers.end())
      routes.push_back({block.address, block.prefix_length, number->second});
  });
  return prefix_table(routes);
}

}  // namespace

block_table::block_table(const std::vector<region>& regions,
                         const block_source& blocks)
    : regions_(NamesOf(regions)), blocks_(TableOf(regions_, blocks)) {}

const std::string* block_table::RegionOf(const ip_address& address) const {
  const auto found = blocks_.Find(address);
  return found == kNoDestination ? nullptr : &regions_[found];
}

}  // namespace samphire
