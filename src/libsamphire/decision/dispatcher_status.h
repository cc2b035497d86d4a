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

// One service at one entry, for operators, gossip and tests.
struct dispatcher_status {
  std::uint32_t owned = 0;
  std::uint32_t lent = 0;
  std::uint32_t borrowed = 0;
  // Slots that could start work now.
  std::uint32_t free = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t bulk_in_flight = 0;
  // Owned slots of targets that are closed or ejected.
  std::uint32_t unusable = 0;
  // The share of the slots held that is not in use, in 0..1.
  double headroom = 0;
  duration queue_delay{0};
  // How far priorities are shed: 0 none, 1 low, 2 low and normal.
  double shed_level = 0;
  std::vector<class_status> classes;
  std::vector<refusal_count> refusals;
  std::vector<std::string> ejected;
  // Regions with a declared cap or work here.
  std::vector<shift_status> shifts;
};

}  // namespace samphire

#endif  // DECISION_DISPATCHER_STATUS_H_
