#include "gateway/region_choice.h"

namespace samphire {

namespace {

constexpr std::size_t kMaxRegions = 2;

}  // namespace

// Made for a downpour, when the home region is full, and for a region that has
// gone dark. Trying every region in turn would multiply the load just when all
// are full; so a second is tried only if it told of room, and no third. The
// cap on the shift is kept at the region where the load lands: here nothing is
// counted, since what this entry believes of other regions lags.
std::vector<std::string> ChooseRegions(
    const std::vector<region_option>& regions) {
  std::vector<std::string> chosen;
  for (const auto& each : regions) {
    const bool possible = each.own || each.reachable;
    const bool wanted = chosen.empty() || each.own || each.has_room;
    if (possible && wanted)
      chosen.push_back(each.name);
    if (chosen.size() == kMaxRegions)
      break;
  }
  return chosen;
}

// Only what surely did not run, and only what another region can change: a
// key that is used elsewhere or a request in quarantine is refused by all.
bool MayShift(const response_status& note) {
  if (note.run != run_state::kNotRun)
    return false;
  switch (note.code) {
    case result_code::kQueueFull:
    case result_code::kDeadlineUnreachable:
    case result_code::kShedByPriority:
    case result_code::kShiftCapReached:
    case result_code::kNoTargetAvailable:
    case result_code::kNoPeerInRegion:
    case result_code::kTargetUnreachable:
    case result_code::kTargetShedding:
    case result_code::kRetryBudgetSpent:
    case result_code::kEntryLeaving:
      return true;
    default:
      return false;
  }
}

}  // namespace samphire
