#ifndef HISTORY_RUN_STARTED_H_
#define HISTORY_RUN_STARTED_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "history/history_time.h"

namespace samphire {

// Event: a target started to run a request.
struct run_started {
  static constexpr std::string_view kName = "run-started";
  history_time time_us = 0;
  std::string target{};
  // Number of the run, unique in a history.
  std::int64_t run = 0;
  std::string request_id{};
  // Idempotency key of the request; empty without one.
  std::string key{};

  static void Fields(auto& self, auto&& field) {
    field("time_us", self.time_us);
    field("target", self.target);
    field("run", self.run);
    field("request_id", self.request_id);
    field("key", self.key);
  }
};

}  // namespace samphire

#endif  // HISTORY_RUN_STARTED_H_
