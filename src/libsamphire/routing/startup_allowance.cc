#include "routing/startup_allowance.h"

namespace samphire {

namespace {

// Keeps small teams from being refused before there are enough requests to
// compare shares.
constexpr double kInitialRequests = 4;
// Allows for teams that use more of their limits than others.
constexpr double kHeadroom = 2;

}  // namespace

// After a restart of all entries, each one may consider itself the owner of
// every team and has no record of earlier usage. A team over its limit is then
// recognized by its share of the requests that reach this entry.
bool startup_allowance::TryTake(const std::string& team, double limit_share) {
  ++requests_;
  auto& taken = taken_[team];
  if (taken + 1 > kInitialRequests + kHeadroom * limit_share * requests_)
    return false;
  ++taken;
  return true;
}

}  // namespace samphire
