#ifndef DECISIONS_SIMULATED_REQUEST_H_
#define DECISIONS_SIMULATED_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <memory>

#include "config/request_class.h"
#include "decision/slot_grant.h"

namespace samphire {

// One request of a run, with the time it will take.
struct simulated_request {
  std::uint64_t id = 0;
  std::size_t entry = 0;
  const request_class* rules = nullptr;
  bool shifted = false;
  time_point arrived;
  time_point deadline;
  duration service{0};
};

using request_ptr = std::shared_ptr<simulated_request>;

}  // namespace samphire

#endif  // DECISIONS_SIMULATED_REQUEST_H_
