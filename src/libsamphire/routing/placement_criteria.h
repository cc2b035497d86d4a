#ifndef ROUTING_PLACEMENT_CRITERIA_H_
#define ROUTING_PLACEMENT_CRITERIA_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock_source.h"

namespace samphire {

// The properties of a request that determine the target of one attempt.
struct placement_criteria {
  std::string route;
  std::uint64_t key_hash = 0;
  // The size of the request body, as far as known before it is sent.
  std::uint64_t body_bytes = 0;
  // The route's latency objective, counted from now: the response has its full
  // value within this time.
  milliseconds objective{0};
  // The time until the request's deadline, after which no caller waits for the
  // response.
  milliseconds time_left{0};
  // The regions whose targets may run the request; any region if empty.
  std::vector<std::string> home_regions;
  // Whether the placing entry places all requests of its region for the key. If
  // not, each of its peers is assumed to send about as many as it does.
  bool for_region = false;
  // Ids of the targets that were tried before.
  std::vector<std::string> excluded;
};

}  // namespace samphire

#endif  // ROUTING_PLACEMENT_CRITERIA_H_
