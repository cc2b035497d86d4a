#ifndef LEDGER_RESOLUTION_H_
#define LEDGER_RESOLUTION_H_

#include "base/enum_names.h"

namespace samphire {

// How an operator settles a reservation in doubt: the request was executed, or
// it was not and may be reserved again.
enum class resolution { kDone, kReleased };

inline constexpr enum_names<resolution, 2> kResolutionNames{{
    {resolution::kDone, "done"},
    {resolution::kReleased, "released"},
}};

}  // namespace samphire

#endif  // LEDGER_RESOLUTION_H_
