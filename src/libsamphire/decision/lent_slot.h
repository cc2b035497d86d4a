#ifndef DECISION_LENT_SLOT_H_
#define DECISION_LENT_SLOT_H_

#include <string>

namespace samphire {

// One slot that was removed from this entry's owned slots in order to be lent.
struct lent_slot {
  std::string target;
};

}  // namespace samphire

#endif  // DECISION_LENT_SLOT_H_
