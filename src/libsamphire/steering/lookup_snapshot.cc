#include "steering/lookup_snapshot.h"

#include <utility>

namespace samphire {

lookup_snapshot::lookup_snapshot(const declaration& declared,
                                 std::uint64_t version)
    : lookup_snapshot(declared,
                      version,
                      new home_region_table(
                          declared.regions,
                          [&](const home_region_table::block_visitor& visit) {
                            for (const auto& block : declared.client_blocks)
                              visit(block);
                          })) {}

lookup_snapshot::lookup_snapshot(const declaration& declared_without_blocks,
                                 std::uint64_t version,
                                 home_region_table_ptr blocks)
    : default_region_(declared_without_blocks.default_region),
      blocks_(std::move(blocks)),
      order_(declared_without_blocks),
      ttl_(declared_without_blocks.limits.lookup_ttl),
      version_(version) {}

const std::string& lookup_snapshot::RegionOf(const ip_address& address) const {
  const auto* found = blocks_->RegionOf(address);
  return found == nullptr ? default_region_ : *found;
}

}  // namespace samphire
