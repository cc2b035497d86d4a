#ifndef EXPERIMENT_CALLER_GROUP_H_
#define EXPERIMENT_CALLER_GROUP_H_

#include <string>
#include <vector>

namespace samphire {

// Simulated callers of one region.
struct caller_group {
  std::string region;
  // Local IP addresses that requests are sent from; one is drawn at random for
  // each request.
  std::vector<std::string> sources;
  // Weight of this group: its part of all requests, relative to the shares of
  // the other groups.
  double share = 1;
};

}  // namespace samphire

#endif  // EXPERIMENT_CALLER_GROUP_H_
