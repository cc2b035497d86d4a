#ifndef DECISION_ADMISSION_REQUEST_H_
#define DECISION_ADMISSION_REQUEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "config/request_class.h"

namespace samphire {

// One attempt that asks for a slot of a target.
struct admission_request {
  std::uint64_t id = 0;
  // Read only while the request is submitted.
  const samphire::request_class* request_class = nullptr;
  std::string home_region;
  time_point arrived;
  time_point deadline;
  // Where earlier attempts of the same request failed.
  std::vector<std::string> avoid_failure_domains;
  bool retry = false;
  // A crash suspect: it gets a target with nothing else running, if any.
  bool isolate = false;
};

}  // namespace samphire

#endif  // DECISION_ADMISSION_REQUEST_H_
