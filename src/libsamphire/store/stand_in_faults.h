#ifndef STORE_STAND_IN_FAULTS_H_
#define STORE_STAND_IN_FAULTS_H_

#include <array>
#include <atomic>
#include <cstdint>

#include "store/store_call.h"

namespace samphire {

// Faults that the stand-in platform injects on demand, and its counters of
// calls. Read and written by any thread.
struct stand_in_faults {
  // While set, every call of the platform protocol fails with 503.
  std::atomic<bool> down{false};
  // Delay of each call in milliseconds.
  std::atomic<int> slow_ms{0};
  // Number of subsequent writes that take effect but whose responses are
  // dropped.
  std::atomic<int> drop_responses{0};
  // Number of subsequent writes that are neither executed nor responded to.
  std::atomic<int> drop_requests{0};
  // Number of calls so far, by store_call.
  std::array<std::atomic<std::int64_t>, kStoreCallNames.size()> calls{};
};

}  // namespace samphire

#endif  // STORE_STAND_IN_FAULTS_H_
