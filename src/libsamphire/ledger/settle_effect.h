#ifndef LEDGER_SETTLE_EFFECT_H_
#define LEDGER_SETTLE_EFFECT_H_

#include "base/enum_names.h"

namespace samphire {

// The effect of completing or releasing a reservation or marking it unknown.
enum class settle_effect {
  // The settlement is stored in the platform.
  kRecorded,
  // The platform could not be written. The settlement is kept in memory and
  // retried.
  kPending,
  // Another reservation holds the key by now, because an operator released this
  // one.
  kSuperseded,
};

// Names in metrics.
inline constexpr enum_names<settle_effect, 3> kSettleEffectNames{{
    {settle_effect::kRecorded, "recorded"},
    {settle_effect::kPending, "pending"},
    {settle_effect::kSuperseded, "superseded"},
}};

}  // namespace samphire

#endif  // LEDGER_SETTLE_EFFECT_H_
