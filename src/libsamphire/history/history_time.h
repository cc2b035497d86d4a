#ifndef HISTORY_HISTORY_TIME_H_
#define HISTORY_HISTORY_TIME_H_

#include <cstdint>

namespace samphire {

// Time of day in microseconds: the histories of several processes of one
// machine are merged by it.
using history_time = std::int64_t;

}  // namespace samphire

#endif  // HISTORY_HISTORY_TIME_H_
