#ifndef DECISION_CLASS_STATUS_H_
#define DECISION_CLASS_STATUS_H_

#include <cstddef>
#include <string>

#include "base/clock_source.h"

namespace samphire {

// Queue length and mean service time of one request class.
struct class_status {
  std::string name;
  // Number of requests that wait for a slot.
  std::size_t queued = 0;
  duration mean_service{0};
};

}  // namespace samphire

#endif  // DECISION_CLASS_STATUS_H_
