#ifndef CONFIG_REGION_H_
#define CONFIG_REGION_H_

#include <cstdint>
#include <string>
#include <vector>

namespace samphire {

// A region and the failure domains in it.
struct region {
  std::string name;
  // Names that are unique in the whole declaration.
  std::vector<std::string> failure_domains;
  // The number of slot partitions into which the region's capacity is divided.
  // Each partition is owned by one entry at a time. Declared as "seats".
  std::uint32_t partition_count = 0;

  bool operator==(const region&) const = default;
};

}  // namespace samphire

#endif  // CONFIG_REGION_H_
