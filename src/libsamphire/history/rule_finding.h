#ifndef HISTORY_RULE_FINDING_H_
#define HISTORY_RULE_FINDING_H_

#include <string>
#include <vector>

#include "history/history_event.h"

namespace samphire {

// One violation of a rule, with the events that prove it.
struct rule_finding {
  std::string message;
  std::vector<history_event> events;
};

}  // namespace samphire

#endif  // HISTORY_RULE_FINDING_H_
