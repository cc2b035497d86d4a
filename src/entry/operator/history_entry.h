#ifndef ENTRY_OPERATOR_HISTORY_ENTRY_H_
#define ENTRY_OPERATOR_HISTORY_ENTRY_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "entry/operator/history_state.h"

namespace samphire {

// One change of the configuration and who stands behind it.
struct history_entry {
  // 0 for a change that is proposed only.
  std::uint64_t version = 0;
  std::string apply_id;
  std::string operator_name;
  // Who witnessed it, and the proposal's id; empty if none was needed.
  std::string witness;
  std::string proposal;
  history_state state = history_state::kAccepted;
  wall_time at;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_HISTORY_ENTRY_H_
