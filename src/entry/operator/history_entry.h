#ifndef ENTRY_OPERATOR_HISTORY_ENTRY_H_
#define ENTRY_OPERATOR_HISTORY_ENTRY_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "entry/operator/history_state.h"

namespace samphire {

// One change of the configuration and the operators responsible for it.
struct history_entry {
  // The configuration version that the change created; 0 while it is only
  // proposed.
  std::uint64_t version = 0;
  std::string apply_id;
  std::string operator_name;
  // The operator who approved the change, and the id of the proposal; empty if
  // no approval was needed.
  std::string witness;
  std::string proposal;
  history_state state = history_state::kAccepted;
  // When the change was accepted; unset for a proposal.
  wall_time at;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_HISTORY_ENTRY_H_
