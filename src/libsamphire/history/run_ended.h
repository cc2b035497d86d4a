#ifndef HISTORY_RUN_ENDED_H_
#define HISTORY_RUN_ENDED_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "history/history_time.h"
#include "history/run_outcome.h"

namespace samphire {

struct run_ended {
  static constexpr std::string_view kName = "run-ended";
  history_time time_us = 0;
  std::string target{};
  std::int64_t run = 0;
  run_outcome outcome = run_outcome::kFinished;
  // When the reading in the answer was taken.
  history_time measured_us = 0;

  static void Fields(auto& self, auto&& field) {
    field("time_us", self.time_us);
    field("target", self.target);
    field("run", self.run);
    field("outcome", self.outcome);
    field("measured_us", self.measured_us);
  }
};

}  // namespace samphire

#endif  // HISTORY_RUN_ENDED_H_
