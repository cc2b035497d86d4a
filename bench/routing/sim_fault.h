#ifndef ROUTING_SIM_FAULT_H_
#define ROUTING_SIM_FAULT_H_

#include "base/clock_source.h"
#include "base/enum_names.h"

namespace samphire {

enum class sim_fault_kind {
  // Callers send `strength` times as many requests.
  kBurst,
  // A share of the targets takes `strength` times as long.
  kSlowTargets,
  // A share of the targets refuses connections, and restarts without any
  // objects in memory.
  kCrash,
  // A share of the targets loses power: connections hang until they time out.
  // They restart without any objects in memory.
  kPowerLoss,
  // A share of the targets fails a fraction `strength` of its runs.
  kFailing,
  // A share of the targets refuses a fraction `strength` of its requests.
  kShedding,
};

inline constexpr enum_names<sim_fault_kind, 6> kSimFaultNames{{
    {sim_fault_kind::kBurst, "burst"},
    {sim_fault_kind::kSlowTargets, "slow-targets"},
    {sim_fault_kind::kCrash, "crash"},
    {sim_fault_kind::kPowerLoss, "dark"},
    {sim_fault_kind::kFailing, "failing"},
    {sim_fault_kind::kShedding, "shedding"},
}};

struct sim_fault {
  sim_fault_kind kind = sim_fault_kind::kBurst;
  // Time since the start of traffic.
  milliseconds starts_at{10'000};
  milliseconds lasts{5'000};
  // The fraction of targets that are affected.
  double share = 0.2;
  double strength = 2;
};

}  // namespace samphire

#endif  // ROUTING_SIM_FAULT_H_
