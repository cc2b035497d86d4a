#ifndef HISTORY_RULE_FINDING_H_
#define HISTORY_RULE_FINDING_H_

#include <string>
#include <vector>

#include "history/history_event.h"

namespace samphire {

// One promise that was broken, with the events that show it.
struct rule_finding {
  std::string why;
  std::vector<history_event> events;
};

}  // namespace samphire

#endif  // HISTORY_RULE_FINDING_H_
