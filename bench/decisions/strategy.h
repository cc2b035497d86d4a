#ifndef DECISIONS_STRATEGY_H_
#define DECISIONS_STRATEGY_H_

#include "base/enum_names.h"

namespace samphire {

// How the simulated region decides.
enum class strategy {
  // One queue for all, which knows every slot at once: the limit.
  kCentralQueue,
  // Straight to a target, which queues.
  kRoundRobin,
  kRandom,
  // Each entry keeps to its own slots.
  kStaticShares,
  // As the product does.
  kLoans,
  // The product's decisions at a single entry that owns every slot.
  kOneEntry,
};

inline constexpr enum_names<strategy, 6> kStrategyNames{{
    {strategy::kCentralQueue, "central queue"},
    {strategy::kRoundRobin, "round-robin"},
    {strategy::kRandom, "random"},
    {strategy::kStaticShares, "static shares"},
    {strategy::kLoans, "seats and loans"},
    {strategy::kOneEntry, "one entry"},
}};

}  // namespace samphire

#endif  // DECISIONS_STRATEGY_H_
