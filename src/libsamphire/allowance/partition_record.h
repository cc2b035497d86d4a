#ifndef ALLOWANCE_PARTITION_RECORD_H_
#define ALLOWANCE_PARTITION_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace samphire {

// Ownership of one slot partition, as stored under the key `seat/REGION/NUMBER`
// of the object store.
struct partition_record {
  // Name of the instance that owns the partition; empty if there is none.
  std::string owner;
  // Drawn anew by each process of an instance. It distinguishes a claim of the
  // process itself, whose response was lost, from a claim of its predecessor.
  std::uint64_t incarnation = 0;
  // Whether the former owner may still have work or loans running. Whoever
  // claims the partition on the basis of this record must wait until they have
  // ended.
  bool needs_takeover_delay = false;
};

// Placeholder for the owner of a partition whose record can't be parsed.
inline constexpr std::string_view kUnreadableOwner = "?";

// Returns the record as JSON.
std::string FormatPartition(const partition_record& record);
// Parses what FormatPartition wrote. Fails with kStoreCorrupt if `text` is not
// a partition record.
result<partition_record> ParsePartition(const std::string& text);

// Key prefix of all partitions of a region, and key of one partition.
std::string PartitionPrefix(const std::string& region);
std::string PartitionKey(const std::string& region, std::uint32_t number);

}  // namespace samphire

#endif  // ALLOWANCE_PARTITION_RECORD_H_
