#ifndef ROUTING_TRAFFIC_SERVICE_H_
#define ROUTING_TRAFFIC_SERVICE_H_

#include <string>

#include "base/clock_source.h"

namespace samphire {

// What all targets of one service have in common.
struct traffic_service {
  std::string name;
  // How long a target stays cold after a start under traffic.
  milliseconds warm_up{0};
  // Requests a second that a cold target bears from all entries together.
  double cold_rate = 0;
};

}  // namespace samphire

#endif  // ROUTING_TRAFFIC_SERVICE_H_
