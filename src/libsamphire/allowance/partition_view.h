#ifndef ALLOWANCE_PARTITION_VIEW_H_
#define ALLOWANCE_PARTITION_VIEW_H_

#include <cstdint>
#include <map>

#include "allowance/partition_record.h"

namespace samphire {

// A slot partition as last read from or written to the object store. Version 0
// means that it was never written.
struct partition_view {
  std::uint64_t version = 0;
  partition_record record;
};

// By partition number.
using partition_views = std::map<std::uint32_t, partition_view>;

}  // namespace samphire

#endif  // ALLOWANCE_PARTITION_VIEW_H_
