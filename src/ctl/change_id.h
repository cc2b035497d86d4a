#ifndef CTL_CHANGE_ID_H_
#define CTL_CHANGE_ID_H_

#include <string>

namespace samphire {

// The kind of a configuration change: a change submitted by this operator
// (kApply), or this operator's approval of another operator's proposal
// (kWitness).
enum class change_kind { kApply, kWitness };

// Identifies a change in the configuration history, so that its outcome can be
// looked up after its response was lost.
struct change_id {
  change_kind kind = change_kind::kApply;
  // The apply id for kApply, the proposal id for kWitness.
  std::string text;
};

}  // namespace samphire

#endif  // CTL_CHANGE_ID_H_
