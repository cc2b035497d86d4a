#ifndef STEERING_DESTINATION_H_
#define STEERING_DESTINATION_H_

#include <cstdint>
#include <limits>

namespace samphire {

// The number of a place that callers are sent to.
using destination = std::uint16_t;

inline constexpr destination kNoDestination =
    std::numeric_limits<destination>::max();

}  // namespace samphire

#endif  // STEERING_DESTINATION_H_
