#ifndef ALLOWANCE_PARTITION_USER_H_
#define ALLOWANCE_PARTITION_USER_H_

#include <cstdint>
#include <vector>

#include "allowance/partition_takeover.h"

namespace samphire {

// Receives the slot partitions that an entry may use, and reports whether those
// that are being released are still in use. All functions are called by the
// thread of partition_manager, without its lock held.
class partition_user {
 public:
  virtual ~partition_user() = default;

  // From now on the slots of exactly these partitions may be used. On any other
  // partition no new work may start, and no slot of it may be lent.
  virtual void OnUsablePartitions(const std::vector<std::uint32_t>& usable) = 0;

  // Partitions whose takeover delay, which covers all services, has not passed.
  // The slots of a single service may be used as soon as that service's own
  // longest work, loan time to live and clock drift have passed since the
  // takeover.
  virtual void OnPartitionTakeovers(
      const std::vector<partition_takeover>& /*takeovers*/) {}

  // Whether no work runs on the partition's slots and none of them is lent any
  // more, so that another entry may use them at once. Called only for
  // partitions that are being released.
  virtual bool IsIdle(std::uint32_t partition) = 0;
};

}  // namespace samphire

#endif  // ALLOWANCE_PARTITION_USER_H_
