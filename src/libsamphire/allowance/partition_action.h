#ifndef ALLOWANCE_PARTITION_ACTION_H_
#define ALLOWANCE_PARTITION_ACTION_H_

#include <cstdint>
#include <variant>

#include "allowance/partition_record.h"
#include "base/clock_source.h"

namespace samphire {

// Actions that partition_manager_state asks partition_manager to perform.

// Reads the records of all slot partitions of the region from the store.
struct list_partitions {};
// Reads the platform's instance list.
struct list_instances {};
// Writes `record` for the partition `number`, on the condition that the stored
// object still has `expected_version`. It is a claim if the record names an
// owner, and a release otherwise.
struct write_partition {
  std::uint32_t number = 0;
  std::uint64_t expected_version = 0;
  partition_record record;
};
// Does nothing before `until`.
struct idle_until {
  time_point until;
};

using partition_action =
    std::variant<list_partitions, list_instances, write_partition, idle_until>;

}  // namespace samphire

#endif  // ALLOWANCE_PARTITION_ACTION_H_
