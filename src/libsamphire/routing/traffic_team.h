#ifndef ROUTING_TRAFFIC_TEAM_H_
#define ROUTING_TRAFFIC_TEAM_H_

#include <string>
#include <vector>

#include "routing/rate_limit.h"

namespace samphire {

// A group of callers that authenticate with the same API keys and share a
// limit.
struct traffic_team {
  std::string name;
  std::vector<std::string> api_keys;
  rate_limit limit;
  // Regions whose targets may run the team's requests; any if empty.
  std::vector<std::string> home_regions;
};

}  // namespace samphire

#endif  // ROUTING_TRAFFIC_TEAM_H_
