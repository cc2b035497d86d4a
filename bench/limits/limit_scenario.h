#ifndef LIMITS_LIMIT_SCENARIO_H_
#define LIMITS_LIMIT_SCENARIO_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <utility>

#include "base/enum_names.h"

namespace samphire {

// Mechanisms that enforce team limits shared by all entries.
enum class limit_mechanism {
  // Each entry has an equal share of every limit.
  kEqualShares,
  // One entry of the fleet grants all permits of a team.
  kFleetOwner,
  // One entry per region grants them from the region's fixed share.
  kRegionOwners,
  // Like kRegionOwners, and owners that run low borrow from those of other
  // regions.
  kLendingOwners,
};

inline constexpr enum_names<limit_mechanism, 4> kLimitMechanismNames{{
    {limit_mechanism::kEqualShares, "equal-shares"},
    {limit_mechanism::kFleetOwner, "fleet-owner"},
    {limit_mechanism::kRegionOwners, "region-owners"},
    {limit_mechanism::kLendingOwners, "lending-owners"},
}};

// Teams of unequal size in a fleet. The hot teams send `hot_factor` times their
// usual rate for a few seconds.
struct limit_scenario {
  std::string_view name;
  int entries = 0;
  int teams = 0;
  int hot_teams = 0;
  double hot_factor = 1;
  // Kills half of the entries during the hot period. Their callers move to the
  // others.
  bool kills_half = false;
};

inline constexpr std::array<limit_scenario, 6> kLimitScenarios{{
    {.name = "ten", .entries = 10, .teams = 87},
    {.name = "ten-hot",
     .entries = 10,
     .teams = 87,
     .hot_teams = 1,
     .hot_factor = 9},
    {.name = "fleet", .entries = 89, .teams = 87},
    {.name = "fleet-hot",
     .entries = 89,
     .teams = 87,
     .hot_teams = 2,
     .hot_factor = 9},
    {.name = "fleet-killed",
     .entries = 89,
     .teams = 87,
     .hot_teams = 2,
     .hot_factor = 9,
     .kills_half = true},
    {.name = "large-hot",
     .entries = 300,
     .teams = 4000,
     .hot_teams = 10,
     .hot_factor = 9},
}};

}  // namespace samphire

#endif  // LIMITS_LIMIT_SCENARIO_H_
