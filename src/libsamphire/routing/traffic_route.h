#ifndef ROUTING_TRAFFIC_ROUTE_H_
#define ROUTING_TRAFFIC_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "routing/route_part.h"

namespace samphire {

// What a host and path prefix lead to, and what its callers may expect.
struct traffic_route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  std::vector<route_part> parts;
  // May run more than once.
  bool idempotent = false;
  // The longest that a caller is kept waiting.
  milliseconds timeout{0};
  // An answer within this time is worth most to its caller.
  milliseconds latency_objective{0};
  // Targets that may run one request.
  std::uint32_t max_attempts = 1;
  // Requests need no API key.
  bool allows_anonymous = false;
  // The only regions whose targets may run it; empty: any.
  std::vector<std::string> home_regions;
};

}  // namespace samphire

#endif  // ROUTING_TRAFFIC_ROUTE_H_
