#ifndef DECISIONS_SIMULATED_REQUEST_H_
#define DECISIONS_SIMULATED_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "config/request_class.h"
#include "decision/slot_grant.h"

namespace samphire {

// One request of a run, with the service time that it needs. All times are in
// simulated time.
struct simulated_request {
  std::uint64_t id = 0;
  // Index of the entry at which it arrives.
  std::size_t entry = 0;
  // Its class, owned by the workload.
  const request_class* rules = nullptr;
  // Its caller belongs to the lost region.
  bool shifted = false;
  time_point arrived;
  time_point deadline;
  // How long it occupies a slot of a target of usual speed.
  duration slot_time{0};
};

using request_ptr = std::shared_ptr<simulated_request>;

}  // namespace samphire

#endif  // DECISIONS_SIMULATED_REQUEST_H_
