#ifndef ROUTING_STARTUP_ALLOWANCE_H_
#define ROUTING_STARTUP_ALLOWANCE_H_

#include <map>
#include <string>

namespace samphire {

// Limits teams while an entry does not know the other entries yet: bounds each
// team's share of the requests that reach this entry, based on the team's share
// of all limits. Not thread-safe.
class startup_allowance {
 public:
  // Returns whether one more request of the team may run here. `limit_share` is
  // the team's limit divided by the sum of all teams' limits, from 0 to 1.
  bool TryTake(const std::string& team, double limit_share);

 private:
  double requests_ = 0;
  std::map<std::string, double> taken_;
};

}  // namespace samphire

#endif  // ROUTING_STARTUP_ALLOWANCE_H_
