#ifndef DECISIONS_STRATEGY_H_
#define DECISIONS_STRATEGY_H_

#include "base/enum_names.h"

namespace samphire {

// How the simulated region assigns requests to slots.
enum class strategy {
  // One queue for all requests, with instant knowledge of every slot: the best
  // that any strategy can reach.
  kCentralQueue,
  // Entries send each request straight to a target, which queues it.
  kRoundRobin,
  kRandom,
  // Each entry uses only the slots that it owns.
  kStaticShares,
  // Each entry owns slots and borrows free ones of its peers, as the system
  // does
  // in production.
  kLoans,
  // The production dispatcher in a single entry that owns every slot.
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
