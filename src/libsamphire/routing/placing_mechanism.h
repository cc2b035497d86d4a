#ifndef ROUTING_PLACING_MECHANISM_H_
#define ROUTING_PLACING_MECHANISM_H_

#include "base/enum_names.h"

namespace samphire {

// A part of placing that can be left out, to measure what it is worth. What
// bounds that hold for all entries rest on can't be left out.
enum class placing_mechanism {
  // Tell work whose key a target has in memory from work whose key it has not.
  kKeyMemory,
  // A target of any region for keys whose planned one is full.
  kOtherTarget,
  // Targets without the key only while they have slots to spare.
  kIdleShare,
  // Count the wait in a target's queue, and refuse what would wait too long.
  kWaitForecast,
  // Count work that other entries are likely to have at a target.
  kPeerLoad,
  // Learn how much slower a target is than others of its service.
  kSlowness,
  // Leave targets alone that lose requests.
  kEjection,
  // Avoid targets that fail part of their requests.
  kPartialFailures,
  // Keep callers in their region as far as its room goes.
  kRegionPlan,
  // Keep large messages in their failure domain as far as its room goes.
  kDomainPlan,
  // Have a key's requests placed by one entry of the region, which knows them
  // all.
  kKeyOwner,
};

inline constexpr enum_names<placing_mechanism, 11> kPlacingMechanismNames{{
    {placing_mechanism::kKeyMemory, "key-memory"},
    {placing_mechanism::kOtherTarget, "other-target"},
    {placing_mechanism::kIdleShare, "idle-share"},
    {placing_mechanism::kWaitForecast, "wait-forecast"},
    {placing_mechanism::kPeerLoad, "peer-load"},
    {placing_mechanism::kSlowness, "slowness"},
    {placing_mechanism::kEjection, "ejection"},
    {placing_mechanism::kPartialFailures, "partial-failures"},
    {placing_mechanism::kRegionPlan, "region-plan"},
    {placing_mechanism::kDomainPlan, "domain-plan"},
    {placing_mechanism::kKeyOwner, "key-owner"},
}};

}  // namespace samphire

#endif  // ROUTING_PLACING_MECHANISM_H_
