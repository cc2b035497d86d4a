#ifndef DECISION_SHIFT_SHARE_H_
#define DECISION_SHIFT_SHARE_H_

#include <cstdint>
#include <vector>

namespace samphire {

// The slot partitions of the region that this entry owns; each shift cap is
// divided among the partitions.
struct shift_share {
  // Numbers of the owned partitions, each below `partition_count`.
  std::vector<std::uint32_t> partitions;
  // Number of slot partitions of the whole region.
  std::uint32_t partition_count = 0;
};

}  // namespace samphire

#endif  // DECISION_SHIFT_SHARE_H_
