#ifndef DECISION_CLASS_STATUS_H_
#define DECISION_CLASS_STATUS_H_

#include <cstddef>
#include <string>

#include "base/clock_source.h"

namespace samphire {

// What one request class has waiting, and how long its work takes.
struct class_status {
  std::string name;
  std::size_t queued = 0;
  duration mean_service{0};
};

}  // namespace samphire

#endif  // DECISION_CLASS_STATUS_H_
