#include "membership/new_incarnation.h"

#include <chrono>

#include "base/clock_source.h"

namespace samphire {

std::uint64_t NewIncarnation() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<microseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace samphire
