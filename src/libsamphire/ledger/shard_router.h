#ifndef LEDGER_SHARD_ROUTER_H_
#define LEDGER_SHARD_ROUTER_H_

#include <cstdint>
#include <string>

namespace samphire {

// Which entry commits for a shard while all goes well. Only a hint for low
// contention: the version check of the platform is the fence.
class shard_router {
 public:
  virtual ~shard_router() = default;
  // The peer address of the entry that leads `shard`; empty for this one.
  virtual std::string LeaderOf(std::uint32_t shard) const = 0;
};

}  // namespace samphire

#endif  // LEDGER_SHARD_ROUTER_H_
