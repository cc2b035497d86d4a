#ifndef ROUTING_TARGET_REPORT_H_
#define ROUTING_TARGET_REPORT_H_

#include <cstdint>

namespace samphire {

// The load that a target reports with a response: the number of requests that
// run and that wait in its queue, and the number of its slots.
struct target_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

}  // namespace samphire

#endif  // ROUTING_TARGET_REPORT_H_
