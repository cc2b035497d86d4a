#ifndef CTL_CHANGE_ID_H_
#define CTL_CHANGE_ID_H_

#include <string>

namespace samphire {

// Whether a change is one's own or the consent to another's.
enum class change_kind { kApply, kWitness };

// By what the history knows a change: its apply id, or the proposal's.
struct change_id {
  change_kind kind = change_kind::kApply;
  std::string text;
};

}  // namespace samphire

#endif  // CTL_CHANGE_ID_H_
