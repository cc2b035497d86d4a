#ifndef ROUTING_SIM_ROUTE_H_
#define ROUTING_SIM_ROUTE_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"

namespace samphire {

// One kind of request, with callers in every region.
struct sim_route {
  std::string name;
  // Requests per second from the callers of each region.
  double rate = 100;
  // The number of objects that the callers of one region request; each region
  // has objects of its own.
  int objects = 84;
  // The time a target needs without the object in memory.
  milliseconds cold_work{640};
  milliseconds objective{500};
  // A response after this time has no value for the caller.
  milliseconds deadline{2000};
  // Whether a request may run more than once.
  bool idempotent = true;
  std::uint64_t request_bytes = 0;
  std::uint64_t answer_bytes = 5'000;
};

}  // namespace samphire

#endif  // ROUTING_SIM_ROUTE_H_
