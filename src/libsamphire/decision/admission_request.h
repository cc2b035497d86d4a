#ifndef DECISION_ADMISSION_REQUEST_H_
#define DECISION_ADMISSION_REQUEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "config/request_class.h"

namespace samphire {

// One attempt of a request that needs a slot of a target.
struct admission_request {
  // Identifies the request in wakeups and in Cancel; unique per dispatcher.
  std::uint64_t id = 0;
  // Only read during the call that submits the request; not kept afterwards.
  const samphire::request_class* request_class = nullptr;
  // The region the caller belongs to; shift caps are counted by it.
  std::string home_region;
  // When the first attempt of the request reached this entry.
  time_point arrived;
  time_point deadline;
  // Failure domains in which earlier attempts of the same request failed.
  std::vector<std::string> avoid_failure_domains;
  // Whether this is a second or later attempt.
  bool retry = false;
  // Set for a crash suspect: it is placed on a target that runs nothing else,
  // if there is one.
  bool isolate = false;
};

}  // namespace samphire

#endif  // DECISION_ADMISSION_REQUEST_H_
