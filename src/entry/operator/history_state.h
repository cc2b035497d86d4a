#ifndef ENTRY_OPERATOR_HISTORY_STATE_H_
#define ENTRY_OPERATOR_HISTORY_STATE_H_

#include "base/enum_names.h"

namespace samphire {

// Whether a change in the history is in force or superseded by a later one
// (kAccepted), or still awaits the approval of a second operator (kProposed).
enum class history_state { kAccepted, kProposed };

inline constexpr enum_names<history_state, 2> kHistoryStateNames{{
    {history_state::kAccepted, "accepted"},
    {history_state::kProposed, "proposed"},
}};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_HISTORY_STATE_H_
