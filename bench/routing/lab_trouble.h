#ifndef ROUTING_LAB_TROUBLE_H_
#define ROUTING_LAB_TROUBLE_H_

#include "base/clock_source.h"
#include "base/enum_names.h"

namespace samphire {

enum class lab_trouble_kind {
  // Callers ask `strength` times as often.
  kBurst,
  // A share of the targets takes `strength` times as long.
  kSlowTargets,
  // A share of the targets refuses connections and comes back knowing nothing.
  kCrash,
  // A share of the targets is without power: connections hang until they time
  // out. They come back knowing nothing.
  kDark,
  // A share of the targets fails the part `strength` of what it runs.
  kFailing,
  // A share of the targets refuses the part `strength` of its requests.
  kShedding,
};

inline constexpr enum_names<lab_trouble_kind, 6> kLabTroubleNames{{
    {lab_trouble_kind::kBurst, "burst"},
    {lab_trouble_kind::kSlowTargets, "slow-targets"},
    {lab_trouble_kind::kCrash, "crash"},
    {lab_trouble_kind::kDark, "dark"},
    {lab_trouble_kind::kFailing, "failing"},
    {lab_trouble_kind::kShedding, "shedding"},
}};

struct lab_trouble {
  lab_trouble_kind kind = lab_trouble_kind::kBurst;
  // From the start of traffic.
  milliseconds at{10'000};
  milliseconds lasts{5'000};
  // Of the targets.
  double share = 0.2;
  double strength = 2;
};

}  // namespace samphire

#endif  // ROUTING_LAB_TROUBLE_H_
