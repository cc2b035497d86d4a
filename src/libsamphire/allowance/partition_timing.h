#ifndef ALLOWANCE_PARTITION_TIMING_H_
#define ALLOWANCE_PARTITION_TIMING_H_

#include "base/clock_source.h"

namespace samphire {

// Intervals and delays that control partition_manager_state.
struct partition_timing {
  // How often the partitions are read while there is nothing to do. A change of
  // the members triggers an early read, so this only catches changes that were
  // missed.
  milliseconds idle_read_interval{60'000};
  // How often they are read while there is something to do: initial interval,
  // and upper bound of its doubling.
  milliseconds busy_read_interval{500};
  milliseconds max_busy_read_interval{8000};
  // How long an instance must be missing from the platform's list without
  // interruption before it counts as gone. Must be longer than the lag of the
  // list.
  milliseconds gone_after{10'000};
  // How long a partition must be vacant before an entry claims more than its
  // share among all listed entries.
  milliseconds extra_claim_delay{5000};
  // Additional delay of a claim for each candidate that precedes the entry in
  // the order for the vacant partition.
  milliseconds rank_delay{300};
  // Number between 0 and 1 that each entry draws for itself. It spreads the
  // reads of the entries over time.
  double jitter = 0.5;
};

}  // namespace samphire

#endif  // ALLOWANCE_PARTITION_TIMING_H_
