#ifndef ROUTING_ROUTE_PART_H_
#define ROUTING_ROUTE_PART_H_

#include <string>

namespace samphire {

// One of the services among which a route divides its requests.
struct route_part {
  std::string service;
  // The share of requests relative to the weights of the other parts.
  double weight = 1;
};

}  // namespace samphire

#endif  // ROUTING_ROUTE_PART_H_
