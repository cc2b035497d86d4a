#ifndef LEDGER_SETTLE_EFFECT_H_
#define LEDGER_SETTLE_EFFECT_H_

#include "base/enum_names.h"

namespace samphire {

// What became of a completion, release or mark of a reservation.
enum class settle_effect {
  // The platform holds it.
  kRecorded,
  // The platform couldn't be written; it is kept and tried again.
  kPending,
  // The reservation is another's by now, since an operator released it.
  kSuperseded,
};

inline constexpr enum_names<settle_effect, 3> kSettleEffectNames{{
    {settle_effect::kRecorded, "recorded"},
    {settle_effect::kPending, "pending"},
    {settle_effect::kSuperseded, "superseded"},
}};

}  // namespace samphire

#endif  // LEDGER_SETTLE_EFFECT_H_
