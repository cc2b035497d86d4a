#ifndef BASE_SYSTEM_CLOCK_SOURCE_H_
#define BASE_SYSTEM_CLOCK_SOURCE_H_

#include "base/clock_source.h"

namespace samphire {

// Reads the clocks of the operating system. Thread-safe.
class system_clock_source final : public clock_source {
 public:
  time_point now() const override { return std::chrono::steady_clock::now(); }
  wall_time wall_now() const override {
    return std::chrono::system_clock::now();
  }
};

}  // namespace samphire

#endif  // BASE_SYSTEM_CLOCK_SOURCE_H_
