#ifndef ROUTING_ROUTE_RECORD_H_
#define ROUTING_ROUTE_RECORD_H_

#include "base/clock_source.h"
#include "routing/message_size_estimate.h"
#include "routing/service_time_estimate.h"

namespace samphire {

// What one entry has learned of a route's requests at one service.
struct route_record {
  explicit route_record(milliseconds objective) : time(objective) {}

  service_time_estimate time;
  message_size_estimate size;
};

}  // namespace samphire

#endif  // ROUTING_ROUTE_RECORD_H_
