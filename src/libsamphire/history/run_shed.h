#ifndef HISTORY_RUN_SHED_H_
#define HISTORY_RUN_SHED_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "history/history_time.h"

namespace samphire {

// Event: a target refused a request because all its slots were busy.
struct run_shed {
  static constexpr std::string_view kName = "run-shed";
  history_time time_us = 0;
  std::string target{};
  std::string request_id{};
  // Runs at the target at that time.
  std::int64_t in_flight = 0;

  static void Fields(auto& self, auto&& field) {
    field("time_us", self.time_us);
    field("target", self.target);
    field("request_id", self.request_id);
    field("in_flight", self.in_flight);
  }
};

}  // namespace samphire

#endif  // HISTORY_RUN_SHED_H_
