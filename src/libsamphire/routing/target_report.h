#ifndef ROUTING_TARGET_REPORT_H_
#define ROUTING_TARGET_REPORT_H_

#include <cstdint>

namespace samphire {

// What a target says of its load on an answer.
struct target_report {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

}  // namespace samphire

#endif  // ROUTING_TARGET_REPORT_H_
