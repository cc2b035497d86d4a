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

// Input of one simulated run of a region with 4 entries, 6 targets of 4 slots
// each, and 2 ms round trips between entries. Loads and shares are fractions: a
// load of 1 keeps all slots busy.
struct scenario {
  std::string name;
  samphire::strategy strategy = strategy::kLoans;
  // Offered interactive load, relative to the capacity of all slots.
  double load = 0.6;
  // Share of the arrivals that the busiest entry gets; the others split the
  // rest evenly.
  double busiest_share = 0.25;
  // Offered bulk load, relative to the capacity of all slots. Each bulk request
  // takes about 2 s.
  double bulk_load = 0;
  // Service time of the first target, as a multiple of the usual one.
  double slow_factor = 1;
  // The slow target reports that it is idle, the others that they are full.
  bool misleading_hints = false;
  // Multiplies the arrival rate during the first half second of every five
  // seconds.
  double burst_factor = 1;
  // Shares of the arrivals that have high and low priority.
  double high_priority_share = 0;
  double low_priority_share = 0;
  // Share of the arrivals whose deadline is a fifth of the usual one.
  double short_deadline_share = 0;
  // Interactive load that shifts here from a lost region, once a tenth of the
  // run is over.
  double shifted_load = 0;
  // Bounds the shifted requests in flight; none: no bound.
  std::optional<shift_cap> cap;
  // Share of the loan messages that are lost.
  double loan_message_loss = 0;
  // Interval at which entries learn of the free slots of their peers; in
  // between they decide by the last values.
  duration gossip_lag = std::chrono::milliseconds(200);
  // Time from arrival to the deadline of an interactive request.
  duration deadline = std::chrono::seconds(1);
  // The order in which the dispatchers serve waiting requests.
  queue_order order = queue_order::kArrival;
  // Exponential service times instead of uniform ones from 0.5 to 1.5 times the
  // usual.
  bool exponential_service = false;
  // Simulated time, warm-up included.
  duration length = std::chrono::seconds(120);
  std::uint64_t seed = 20261202;
};

}  // namespace samphire

#endif  // DECISIONS_SCENARIO_H_
