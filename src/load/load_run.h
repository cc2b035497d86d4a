#ifndef LOAD_LOAD_RUN_H_
#define LOAD_LOAD_RUN_H_

#include <cstdint>
#include <vector>

#include "caller.h"
#include "experiment/arrival.h"
#include "experiment/request_outcome.h"

namespace samphire {

// Runs an open-loop load: sends every arrival at its scheduled time from
// `threads` threads and returns the outcomes in the order of `arrivals`, which
// must be sorted by time. Blocks until all are done. `threads` also bounds the
// requests in flight. A thread that is late sends at once; latency counts from
// the intended time, so that a slow system can't hide its delays by slowing
// the callers down (coordinated omission).
std::vector<request_outcome> RunLoad(caller& caller,
                                     const std::vector<arrival>& arrivals,
                                     std::uint32_t threads);

}  // namespace samphire

#endif  // LOAD_LOAD_RUN_H_
