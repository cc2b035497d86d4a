#ifndef REVIEW_STAND_INS_STOP_TRIAL_H_
#define REVIEW_STAND_INS_STOP_TRIAL_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "case_status.h"
#include "fleet.h"

namespace review {

// An entry that is stopped while callers use it: SIGTERM, and SIGKILL after the
// grace time, as the platform does.
struct stop_settings {
  std::vector<placed_entry> entries;
  // Zone to region.
  std::map<std::string, std::string> zones;
  std::string bounds;
  std::string manifest;
  std::string service;
  std::string path;
  std::chrono::milliseconds grace{0};
  std::chrono::milliseconds route_timeout{0};
  std::chrono::milliseconds time_limit{0};
  // Duration of each run at a worker.
  std::chrono::milliseconds work{0};
  // When requests are sent, counted from SIGTERM; each on an open connection of
  // its own.
  std::vector<std::chrono::milliseconds> sent_after;
};

// Plays the case and judges LOST. Without `trouble`, nothing is stopped.
case_status RunStopTrial(const stop_settings& settings,
                         const std::string& record_path,
                         bool trouble);

// Runs a case as its program does: `argv` holds the path of the record, and the
// environment says with TROUBLE=0 to leave out the disruption.
int RunStopProgram(const stop_settings& settings, int argc, char** argv);

}  // namespace review

#endif  // REVIEW_STAND_INS_STOP_TRIAL_H_
