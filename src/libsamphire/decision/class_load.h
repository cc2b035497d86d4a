#ifndef DECISION_CLASS_LOAD_H_
#define DECISION_CLASS_LOAD_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "config/request_class.h"
#include "decision/service_time.h"

namespace samphire {

// What the dispatcher keeps of one request class.
struct class_load {
  class_load(const request_class& declared, duration prior)
      : rules(declared), service(prior) {}

  request_class rules;
  service_time service;
  // When the last sample came.
  time_point measured_at{};
  std::uint32_t queued = 0;
};

}  // namespace samphire

#endif  // DECISION_CLASS_LOAD_H_
