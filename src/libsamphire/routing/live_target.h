#ifndef ROUTING_LIVE_TARGET_H_
#define ROUTING_LIVE_TARGET_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "store/store_cursor.h"

namespace samphire {

// A target according to the last description that it published.
struct live_target {
  // Identifies the process; a process that takes over the address has another
  // id.
  std::string id;
  std::string address;
  std::string service;
  std::string failure_domain;
  std::string region;
  // The number of requests that the target runs at the same time.
  std::uint32_t slots = 1;
  // The target shuts down soon and must not get new requests.
  bool draining = false;
  // The end of the time in which the target is cold, that is, not able to bear
  // its full load yet; in the past for a warm target.
  time_point cold_until;
  // The wall-clock time at which the process started, in ms. A later time under
  // the same id denotes a new process without the requests, queue and cached
  // keys of the earlier one.
  std::int64_t started_ms = 0;
  // Position of the listing in which this entry found this description.
  store_cursor listing;
};

}  // namespace samphire

#endif  // ROUTING_LIVE_TARGET_H_
