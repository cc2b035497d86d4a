#ifndef STORE_STAND_IN_FAULTS_H_
#define STORE_STAND_IN_FAULTS_H_

#include <array>
#include <atomic>
#include <cstdint>

#include "store/store_call.h"

namespace samphire {

// Faults that the stand-in platform shows on demand, and its count of calls.
struct stand_in_faults {
  std::atomic<bool> down{false};
  std::atomic<int> slow_ms{0};
  // How many of the next writes take effect and are never answered.
  std::atomic<int> lose_answers{0};
  // How many of the next writes are neither run nor answered.
  std::atomic<int> lose_requests{0};
  std::array<std::atomic<std::int64_t>, kStoreCallNames.size()> calls{};
};

}  // namespace samphire

#endif  // STORE_STAND_IN_FAULTS_H_
