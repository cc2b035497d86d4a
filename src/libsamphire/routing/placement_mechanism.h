#ifndef ROUTING_PLACEMENT_MECHANISM_H_
#define ROUTING_PLACEMENT_MECHANISM_H_

#include "base/enum_names.h"

namespace samphire {

// A part of placement that can be disabled to measure its effect. Mechanisms
// that enforce bounds shared by all entries can't be disabled.
enum class placement_mechanism {
  // Distinguishes keys that a target has in memory, which take less time, from
  // keys that it has not.
  kKeyMemory,
  // Offers a target of any region when the planned target of a key is full.
  kOtherTarget,
  // Uses a target without the key in memory only while it has idle slots.
  kIdleShare,
  // Takes the wait in a target's queue into account, and refuses requests that
  // would wait too long.
  kWaitForecast,
  // Estimates the load that other entries cause at a target.
  kPeerLoad,
  // Measures how much slower a target is than the others of its service.
  kSlowness,
  // Sends no requests to a target that loses them, for a limited time.
  kEjection,
  // Avoids targets that fail a part of their requests.
  kPartialFailures,
  // Keeps requests in the caller's region while it has free capacity.
  kRegionPlan,
  // Keeps large messages in their failure domain while it has free capacity.
  kDomainPlan,
  // Has all requests of a region for a key placed by one entry, the key's
  // owner.
  kKeyOwner,
};

inline constexpr enum_names<placement_mechanism, 11> kPlacementMechanismNames{{
    {placement_mechanism::kKeyMemory, "key-memory"},
    {placement_mechanism::kOtherTarget, "other-target"},
    {placement_mechanism::kIdleShare, "idle-share"},
    {placement_mechanism::kWaitForecast, "wait-forecast"},
    {placement_mechanism::kPeerLoad, "peer-load"},
    {placement_mechanism::kSlowness, "slowness"},
    {placement_mechanism::kEjection, "ejection"},
    {placement_mechanism::kPartialFailures, "partial-failures"},
    {placement_mechanism::kRegionPlan, "region-plan"},
    {placement_mechanism::kDomainPlan, "domain-plan"},
    {placement_mechanism::kKeyOwner, "key-owner"},
}};

}  // namespace samphire

#endif  // ROUTING_PLACEMENT_MECHANISM_H_
