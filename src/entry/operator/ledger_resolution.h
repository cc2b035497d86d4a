#ifndef ENTRY_OPERATOR_LEDGER_RESOLUTION_H_
#define ENTRY_OPERATOR_LEDGER_RESOLUTION_H_

#include "base/enum_names.h"

namespace samphire {

// How an operator resolves a reservation whose outcome is unknown: the request
// was executed (kDone), or it was not and may be retried (kReleased).
enum class ledger_resolution { kDone, kReleased };

inline constexpr enum_names<ledger_resolution, 2> kLedgerResolutionNames{{
    {ledger_resolution::kDone, "done"},
    {ledger_resolution::kReleased, "released"},
}};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_LEDGER_RESOLUTION_H_
