#ifndef REVIEW_STAND_INS_2_SCENARIO_H_
#define REVIEW_STAND_INS_2_SCENARIO_H_

#include <string>

#include "record.h"

namespace review {

// How a scenario ended, as the exit status that its script passes on.
enum class outcome { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

// Played by the program of each case.
struct scenario_context {
  // Folder for settings and logs of entries.
  std::string folder;
  // Whether the disruption is left out.
  bool calm = false;
  record& log;
};

// Defined by each case.
outcome PlayScenario(const scenario_context& context);

}  // namespace review

#endif  // REVIEW_STAND_INS_2_SCENARIO_H_
