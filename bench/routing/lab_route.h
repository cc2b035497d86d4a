#ifndef ROUTING_LAB_ROUTE_H_
#define ROUTING_LAB_ROUTE_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"

namespace samphire {

// One kind of request and its callers in every region.
struct lab_route {
  std::string name;
  // Requests a second from the callers of each region.
  double rate = 100;
  // What the callers of one region ask for; each region has objects of its own.
  int objects = 84;
  // A target's work without the object in memory.
  milliseconds cold_work{640};
  milliseconds objective{500};
  // A caller has no use for a later answer.
  milliseconds deadline{2000};
  // May run more than once.
  bool idempotent = true;
  std::uint64_t request_bytes = 0;
  std::uint64_t answer_bytes = 5'000;
};

}  // namespace samphire

#endif  // ROUTING_LAB_ROUTE_H_
