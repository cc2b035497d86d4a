#include "base/thread_processor_time.h"

#include <ctime>

namespace samphire {

std::chrono::nanoseconds ThreadProcessorTime() {
  timespec used{};
  if (clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used) != 0)
    return std::chrono::nanoseconds{0};
  return std::chrono::seconds(used.tv_sec) +
         std::chrono::nanoseconds(used.tv_nsec);
}

}  // namespace samphire
