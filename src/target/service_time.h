#ifndef TARGET_SERVICE_TIME_H_
#define TARGET_SERVICE_TIME_H_

#include <cstdint>

#include "base/clock_source.h"
#include "worker_behavior.h"

namespace samphire {

// Returns the service time of one request. `draw` and `long_draw` are random
// numbers, uniform in [0, 1), which determine the spread around the mean and
// whether this is a long request. `served` counts the requests since the
// target started; `in_flight` includes this one. Above `slots` requests in
// flight the service time grows in proportion to them.
duration ServiceTime(const worker_behavior& behavior,
                     double draw,
                     double long_draw,
                     std::uint64_t served,
                     std::uint32_t in_flight,
                     std::uint32_t slots);

}  // namespace samphire

#endif  // TARGET_SERVICE_TIME_H_
