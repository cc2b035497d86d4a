#ifndef ROUTING_PLACING_REQUEST_H_
#define ROUTING_PLACING_REQUEST_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock_source.h"

namespace samphire {

// What decides where one attempt of a request goes.
struct placing_request {
  std::string route;
  std::uint64_t key_hash = 0;
  // Of its body, as far as known before it is sent.
  std::uint64_t body_bytes = 0;
  // An answer within this time from now is worth most.
  milliseconds objective{0};
  // After this time from now nobody waits any more.
  milliseconds time_left{0};
  // Empty: targets of any region.
  std::vector<std::string> home_regions;
  // The entry that places it does so for all requests of its region for the
  // key; else its peers send about as many as it does.
  bool for_region = false;
  // Targets that were tried already.
  std::vector<std::string> excluded;
};

}  // namespace samphire

#endif  // ROUTING_PLACING_REQUEST_H_
