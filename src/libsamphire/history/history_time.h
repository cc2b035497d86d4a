#ifndef HISTORY_HISTORY_TIME_H_
#define HISTORY_HISTORY_TIME_H_

#include <cstdint>

namespace samphire {

// Wall-clock time in microseconds since the Unix epoch. Wall-clock time is used
// since the histories of several processes of one machine are merged by it.
using history_time = std::int64_t;

}  // namespace samphire

#endif  // HISTORY_HISTORY_TIME_H_
