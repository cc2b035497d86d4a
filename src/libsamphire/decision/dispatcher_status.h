#ifndef DECISION_DISPATCHER_STATUS_H_
#define DECISION_DISPATCHER_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "decision/class_status.h"
#include "decision/refusal_count.h"
#include "decision/shift_status.h"

namespace samphire {

// Snapshot of one service at one entry, for operators, gossip and tests.
struct dispatcher_status {
  // Slots owned through slot partitions, lent to other entries, and borrowed
  // from them.
  std::uint32_t owned = 0;
  std::uint32_t lent = 0;
  std::uint32_t borrowed = 0;
  // Slots that could start work now.
  std::uint32_t free = 0;
  // Running requests of any kind, and bulk requests alone.
  std::uint32_t in_flight = 0;
  std::uint32_t bulk_in_flight = 0;
  // Owned slots of targets that are closed, ejected or no longer declared.
  std::uint32_t unusable = 0;
  // Share of the usable slots that is not in use, in 0..1.
  double headroom = 0;
  // How long the latest measured request had waited when it started.
  duration queue_delay{0};
  // Load shedding by priority: 0 sheds nothing, 1 all of low, 2 all of low and
  // normal priority; fractions shed part of a priority.
  double shed_level = 0;
  std::vector<class_status> classes;
  std::vector<refusal_count> refusals;
  // Names of the ejected targets.
  std::vector<std::string> ejected;
  // Other regions that have a declared shift cap or whose callers have sent
  // requests to this entry.
  std::vector<shift_status> shifts;
};

}  // namespace samphire

#endif  // DECISION_DISPATCHER_STATUS_H_
