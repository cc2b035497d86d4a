#ifndef ALLOWANCE_PARTITION_SLOT_MAP_H_
#define ALLOWANCE_PARTITION_SLOT_MAP_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "config/service.h"

namespace samphire {

// Returns how many of the target's slots belong to partition number `partition`
// of `partition_count`. The sum over all partitions is exactly the number of
// the target's slots. Returns 0 if there is no such partition.
std::uint32_t SlotsOfPartition(const std::string& service_name,
                               const target& one_target,
                               std::uint32_t partition,
                               std::uint32_t partition_count);

// Returns, for each of `targets` in order, how many of its slots the owner of
// the partitions `owned` may use.
std::vector<std::uint32_t> SlotsOfPartitions(
    const std::string& service_name,
    std::span<const target> targets,
    std::span<const std::uint32_t> owned,
    std::uint32_t partition_count);

}  // namespace samphire

#endif  // ALLOWANCE_PARTITION_SLOT_MAP_H_
