#ifndef ROUTING_TRAFFIC_SERVICE_H_
#define ROUTING_TRAFFIC_SERVICE_H_

#include <string>

#include "base/clock_source.h"

namespace samphire {

// Properties shared by all targets of one service.
struct traffic_service {
  std::string name;
  // The time for which a target that starts under traffic stays cold.
  milliseconds warm_up{0};
  // Requests per second that a cold target bears from all entries together.
  double cold_rate = 0;
};

}  // namespace samphire

#endif  // ROUTING_TRAFFIC_SERVICE_H_
