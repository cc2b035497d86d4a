#ifndef TARGET_SERVICE_TIME_H_
#define TARGET_SERVICE_TIME_H_

#include <cstdint>

#include "base/clock_source.h"
#include "worker_behavior.h"

namespace samphire {

// How long one request takes. `draw` and `long_draw` are uniform in [0, 1);
// `served` counts the requests since the worker's start, `in_flight` includes
// this one.
duration ServiceTime(const worker_behavior& behavior,
                     double draw,
                     double long_draw,
                     std::uint64_t served,
                     std::uint32_t in_flight,
                     std::uint32_t slots);

}  // namespace samphire

#endif  // TARGET_SERVICE_TIME_H_
