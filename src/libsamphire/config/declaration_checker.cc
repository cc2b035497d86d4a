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

using check = result<void> (*)(const declaration&, const declaration_names&);

// Regions come first: what refers to a wrong one is judged by the right ones.
constexpr std::array<check, 6> kChecks{CheckRegionNames,  CheckLatencies,
                                       CheckServices,     CheckShiftCaps,
                                       CheckClientBlocks, CheckDrains};

bool IsInForce(const drain& declared, const declaration* in_force) {
  return in_force != nullptr &&
         std::find(in_force->drains.begin(), in_force->drains.end(),
                   declared) != in_force->drains.end();
}

}  // namespace

result<void> CheckDeclaration(const declaration& declared) {
  const declaration_names names(declared);
  for (const auto one : kChecks) {
    BOOST_OUTCOME_TRYV(one(declared, names));
  }
  return Success();
}

// A drain whose deadline has passed would cut everything at once: most likely
// last month's file. One that is in force already stays allowed, or no other
// change could be applied between a drain's deadline and its removal.
result<void> CheckNewDrains(const declaration& declared,
                            wall_time now,
                            const declaration* in_force) {
  for (std::size_t i = 0; i < declared.drains.size(); ++i) {
    const auto& one = declared.drains[i];
    if (one.deadline <= now && !IsInForce(one, in_force)) {
      return MakeError(result_code::kDrainInPast,
                       "passed at " + FormatWallTime(one.deadline),
                       fmt::format("/drains/{}/deadline", i));
    }
  }
  return Success();
}

}  // namespace samphire
