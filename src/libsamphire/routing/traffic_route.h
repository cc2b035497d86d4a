#ifndef ROUTING_TRAFFIC_ROUTE_H_
#define ROUTING_TRAFFIC_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "routing/route_part.h"

namespace samphire {

// The services for requests of a host and path prefix, and the guarantees to
// its callers.
struct traffic_route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string path_prefix;
  std::vector<route_part> parts;
  // Whether a request may run more than once.
  bool idempotent = false;
  // The longest time that a caller waits for a response.
  milliseconds timeout{0};
  // A response within this time has its full value for the caller.
  milliseconds latency_objective{0};
  // The maximum number of attempts whose targets may have run one request.
  // Attempts that are known not to have run it do not count.
  std::uint32_t max_attempts = 1;
  // Whether requests need no API key.
  bool allows_anonymous = false;
  // The only regions whose targets may run the requests; any if empty.
  std::vector<std::string> home_regions;
};

}  // namespace samphire

#endif  // ROUTING_TRAFFIC_ROUTE_H_
