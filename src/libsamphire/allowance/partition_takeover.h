#ifndef ALLOWANCE_PARTITION_TAKEOVER_H_
#define ALLOWANCE_PARTITION_TAKEOVER_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// An owned slot partition in takeover: its former owner may still have work or
// loans running.
struct partition_takeover {
  // Number of the partition.
  std::uint32_t number = 0;
  // When the claim was known to be written, by this instance's clock. The
  // former owner was dead by then.
  time_point since;

  bool operator==(const partition_takeover&) const = default;
};

}  // namespace samphire

#endif  // ALLOWANCE_PARTITION_TAKEOVER_H_
