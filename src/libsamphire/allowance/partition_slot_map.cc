#include "allowance/partition_slot_map.h"

#include <xxhash.h>

namespace samphire {

// Slot `j` of a target belongs to partition (offset + j) modulo the number of
// partitions, where the offset is a hash of the target. A target that is added
// or removed therefore does not move the slots of any other target: while a
// change is being distributed, entries with the old and the new configuration
// agree on the owner of each slot, and no slot is used twice. Assigning the
// slots of all targets in one sequence would be slightly more even, but each
// change would move the slots of every target that follows.
std::uint32_t SlotsOfPartition(const std::string& service_name,
                               const target& one_target,
                               std::uint32_t partition,
                               std::uint32_t partition_count) {
  if (partition_count == 0 || partition >= partition_count)
    return 0;
  const auto key = service_name + '/' + one_target.name;
  const auto offset = XXH3_64bits(key.data(), key.size()) % partition_count;
  const auto position =
      (partition + partition_count - offset) % partition_count;
  return one_target.slots / partition_count +
         (position < one_target.slots % partition_count ? 1 : 0);
}

std::vector<std::uint32_t> SlotsOfPartitions(
    const std::string& service_name,
    std::span<const target> targets,
    std::span<const std::uint32_t> owned,
    std::uint32_t partition_count) {
  std::vector<std::uint32_t> slots;
  slots.reserve(targets.size());
  for (const auto& each : targets) {
    std::uint32_t sum = 0;
    for (const auto partition : owned)
      sum += SlotsOfPartition(service_name, each, partition, partition_count);
    slots.push_back(sum);
  }
  return slots;
}

}  // namespace samphire
