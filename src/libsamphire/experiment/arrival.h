#ifndef EXPERIMENT_ARRIVAL_H_
#define EXPERIMENT_ARRIVAL_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// One request of the planned load. The load is open-loop: the request is sent
// at its time whether or not earlier ones were answered.
struct arrival {
  // Intended send time, from the start of the run. Latency is measured from
  // here, not from the actual send.
  duration at{0};
  // Indexes into scenario::streams, scenario::callers and
  // caller_group::sources.
  std::uint32_t stream = 0;
  std::uint32_t group = 0;
  std::uint32_t source = 0;
  // Unique within a run; the position in order of time.
  std::uint64_t number = 0;
  // The caller closes the connection of its first attempt early
  // (request_stream::abandon_after) and sends the request again.
  bool abandons = false;
};

}  // namespace samphire

#endif  // EXPERIMENT_ARRIVAL_H_
