#ifndef ENTRY_OPERATOR_HISTORY_STATE_H_
#define ENTRY_OPERATOR_HISTORY_STATE_H_

#include "base/enum_names.h"

namespace samphire {

enum class history_state { kAccepted, kProposed };

inline constexpr enum_names<history_state, 2> kHistoryStateNames{{
    {history_state::kAccepted, "accepted"},
    {history_state::kProposed, "proposed"},
}};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_HISTORY_STATE_H_
