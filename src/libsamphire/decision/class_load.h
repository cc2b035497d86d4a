#ifndef DECISION_CLASS_LOAD_H_
#define DECISION_CLASS_LOAD_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "config/request_class.h"
#include "decision/service_time.h"

namespace samphire {

// State that the dispatcher keeps for one request class.
struct class_load {
  // `prior` is the service time assumed until the first sample.
  class_load(const request_class& declared, duration prior)
      : rules(declared), service(prior) {}

  // The declaration under which the waiting requests were queued. It is
  // replaced only while none waits, except for the queue limit.
  request_class rules;
  service_time service;
  // When the latest service time sample was taken.
  time_point measured_at{};
  // Number of requests of the class that wait for a slot.
  std::uint32_t queued = 0;
};

}  // namespace samphire

#endif  // DECISION_CLASS_LOAD_H_
