#ifndef ROUTING_LIVE_TARGET_H_
#define ROUTING_LIVE_TARGET_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"

namespace samphire {

// A target as it last described itself.
struct live_target {
  // Of the process; another one that took over the address has another id.
  std::string id;
  std::string address;
  std::string service;
  std::string failure_domain;
  std::string region;
  std::uint32_t slots = 1;
  // It leaves soon: no new work.
  bool draining = false;
  // Still cold until then; long past for a warm one.
  time_point cold_until;
  // Time of day of its start in ms. A later one under the same id is a process
  // that knows nothing of the earlier one's work.
  std::int64_t started_ms = 0;
};

}  // namespace samphire

#endif  // ROUTING_LIVE_TARGET_H_
