#include "config/declaration_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "config/declaration_names.h"
#include "config/region_checks.h"
#include "config/service_checks.h"
#include "config/wall_time_text.h"

namespace samphire {

namespace {

// Checks one aspect of a declaration against the names it declares.
using declaration_check = result<void> (*)(const declaration&,
                                           const declaration_names&);

// The checks in order. Regions come first, because the later checks resolve
// references against the declared regions.
constexpr std::array<declaration_check, 6> kChecks{
    CheckRegionNames, CheckLatencies,    CheckServices,
    CheckShiftCaps,   CheckClientBlocks, CheckDrains};

// Returns whether the active declaration contains an equal drain.
bool IsActive(const drain& declared, const declaration* active) {
  return active != nullptr &&
         std::find(active->drains.begin(), active->drains.end(), declared) !=
             active->drains.end();
}

}  // namespace

result<void> CheckDeclaration(const declaration& declared) {
  const declaration_names names(declared);
  for (const auto one : kChecks) {
    BOOST_OUTCOME_TRYV(one(declared, names));
  }
  return Success();
}

// A new drain whose deadline has passed would cut all affected work at once;
// most likely an outdated file, such as last month's, was applied by mistake. A
// drain that is already active stays valid, since otherwise no other change
// could be applied between the deadline of a drain and its removal.
result<void> CheckNewDrains(const declaration& declared,
                            wall_time now,
                            const declaration* active) {
  for (std::size_t i = 0; i < declared.drains.size(); ++i) {
    const auto& one = declared.drains[i];
    if (one.deadline <= now && !IsActive(one, active)) {
      return MakeError(
          result_code::kDrainInPast,
          "the drain's deadline passed at " + FormatWallTime(one.deadline),
          fmt::format("/drains/{}/deadline", i));
    }
  }
  return Success();
}

}  // namespace samphire
