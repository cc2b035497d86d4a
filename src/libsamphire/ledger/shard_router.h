#ifndef LEDGER_SHARD_ROUTER_H_
#define LEDGER_SHARD_ROUTER_H_

#include <cstdint>
#include <string>

namespace samphire {

// Chooses the entry that commits for a shard in normal operation. Only a hint
// that reduces contention: correctness rests on the platform's version check,
// which fences off any other writer. Implementations are called from several
// threads.
class shard_router {
 public:
  virtual ~shard_router() = default;
  // Returns the peer address of the entry that leads `shard`, or an empty
  // string if this entry does.
  virtual std::string LeaderOf(std::uint32_t shard) const = 0;
};

}  // namespace samphire

#endif  // LEDGER_SHARD_ROUTER_H_
