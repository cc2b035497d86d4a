#ifndef DECISIONS_SCENARIO_H_
#define DECISIONS_SCENARIO_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock_source.h"
#include "config/shift_cap.h"
#include "decision/queue_order.h"
#include "decisions/strategy.h"

namespace samphire {

// One simulated run: 4 entries, 6 targets of 4 slots, 2 ms round trips.
struct scenario {
  std::string name;
  samphire::strategy strategy = strategy::kLoans;
  // Offered interactive work over what all slots can do.
  double load = 0.6;
  // The busiest entry's share of the arrivals; the others share the rest.
  double busiest_share = 0.25;
  // Offered bulk work over what all slots can do; each takes about 2 s.
  double bulk_load = 0;
  // The first target takes this many times as long.
  double slow_factor = 1;
  // The slow target says that it is idle, the others that they are full.
  bool misleading_hints = false;
  // For half a second in each five, arrivals come this many times as fast.
  double burst_factor = 1;
  // Parts of the arrivals of high and of low priority.
  double high_part = 0;
  double low_part = 0;
  // The part of the arrivals with a fifth of the usual time.
  double hurried_part = 0;
  // Load that moves here from a lost region at a tenth of the run.
  double shifted_load = 0;
  std::optional<shift_cap> cap;
  // The part of loan messages that is lost.
  double message_loss = 0;
  duration gossip_lag = std::chrono::milliseconds(200);
  duration deadline = std::chrono::seconds(1);
  queue_order order = queue_order::kArrival;
  bool exponential = false;
  duration length = std::chrono::seconds(120);
  std::uint64_t seed = 20261202;
};

}  // namespace samphire

#endif  // DECISIONS_SCENARIO_H_
