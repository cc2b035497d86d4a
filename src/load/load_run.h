#ifndef LOAD_LOAD_RUN_H_
#define LOAD_LOAD_RUN_H_

#include <cstdint>
#include <vector>

#include "caller.h"
#include "experiment/arrival.h"
#include "experiment/request_outcome.h"

namespace samphire {

// Sends every arrival at its time from `threads` threads and returns what
// became of each. A thread that comes late sends at once; the latency counts
// from the intended time, so that a slow system can't hide by slowing the
// callers down.
std::vector<request_outcome> RunLoad(caller& caller,
                                     const std::vector<arrival>& arrivals,
                                     std::uint32_t threads);

}  // namespace samphire

#endif  // LOAD_LOAD_RUN_H_
