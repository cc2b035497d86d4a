#include "gateway/region_choice.h"

namespace samphire {

namespace {

// Bounds the regions that are tried for one request.
constexpr std::size_t kMaxRegions = 2;

}  // namespace

// Serves two cases: a heavy rain, when the home region is full, and a region
// that has become unreachable. Trying every region in turn would multiply the
// load just when all of them are full, so a second region is tried only if it
// reported free slots, and a third never. The shift cap is enforced in the
// region that receives the load. Nothing is counted here, because what this
// entry knows of other regions lags behind.
std::vector<std::string> ChooseRegions(
    const std::vector<region_candidate>& regions) {
  std::vector<std::string> chosen;
  for (const auto& each : regions) {
    const bool possible = each.own || each.reachable;
    const bool wanted = chosen.empty() || each.own || each.has_free_slots;
    if (possible && wanted)
      chosen.push_back(each.name);
    if (chosen.size() == kMaxRegions)
      break;
  }
  return chosen;
}

// Only requests that certainly did not run are shifted, and only for reasons
// that don't hold in every region: an idempotency key that is in use elsewhere,
// or a request in quarantine, is refused by all of them.
bool MayShift(const response_status& status) {
  if (status.run != run_state::kNotRun)
    return false;
  switch (status.code) {
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
