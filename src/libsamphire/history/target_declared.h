#ifndef HISTORY_TARGET_DECLARED_H_
#define HISTORY_TARGET_DECLARED_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "history/history_time.h"

namespace samphire {

// Event: a target started, with its region and its slots, the number of
// requests that it can run at the same time.
struct target_declared {
  static constexpr std::string_view kName = "target-declared";
  history_time time_us = 0;
  // "SERVICE/NAME".
  std::string target{};
  std::string region{};
  std::int64_t slots = 0;

  static void Fields(auto& self, auto&& field) {
    field("time_us", self.time_us);
    field("target", self.target);
    field("region", self.region);
    field("slots", self.slots);
  }
};

}  // namespace samphire

#endif  // HISTORY_TARGET_DECLARED_H_
