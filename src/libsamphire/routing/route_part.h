#ifndef ROUTING_ROUTE_PART_H_
#define ROUTING_ROUTE_PART_H_

#include <string>

namespace samphire {

// One of the services that a route divides its requests among.
struct route_part {
  std::string service;
  // Relative to the other parts' weights.
  double weight = 1;
};

}  // namespace samphire

#endif  // ROUTING_ROUTE_PART_H_
