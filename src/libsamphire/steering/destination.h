#ifndef STEERING_DESTINATION_H_
#define STEERING_DESTINATION_H_

#include <cstdint>
#include <limits>

namespace samphire {

// The value that a look-up table gives for a key: an index into a list that the
// user of the table keeps, such as the regions of a declaration.
using destination = std::uint16_t;

// Stands for keys that no prefix or range contains; no valid index.
inline constexpr destination kNoDestination =
    std::numeric_limits<destination>::max();

}  // namespace samphire

#endif  // STEERING_DESTINATION_H_
