#ifndef HISTORY_RUN_ENDED_H_
#define HISTORY_RUN_ENDED_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "history/history_time.h"
#include "history/run_outcome.h"

namespace samphire {

// Event: a run at a target ended.
struct run_ended {
  static constexpr std::string_view kName = "run-ended";
  history_time time_us = 0;
  std::string target{};
  // Number of the run, as in run_started.
  std::int64_t run = 0;
  run_outcome outcome = run_outcome::kFinished;
  // When the reading in the answer was taken; 0 without a reading.
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
