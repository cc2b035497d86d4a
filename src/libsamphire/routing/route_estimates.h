#ifndef ROUTING_ROUTE_ESTIMATES_H_
#define ROUTING_ROUTE_ESTIMATES_H_

#include "base/clock_source.h"
#include "routing/message_size_estimate.h"
#include "routing/service_time_estimate.h"

namespace samphire {

// One entry's estimates for requests of one route at one service.
struct route_estimates {
  explicit route_estimates(milliseconds objective) : time(objective) {}

  service_time_estimate time;
  message_size_estimate size;
};

}  // namespace samphire

#endif  // ROUTING_ROUTE_ESTIMATES_H_
