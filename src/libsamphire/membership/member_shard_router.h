#ifndef MEMBERSHIP_MEMBER_SHARD_ROUTER_H_
#define MEMBERSHIP_MEMBER_SHARD_ROUTER_H_

#include <cstdint>
#include <string>

#include "ledger/shard_router.h"
#include "membership/membership_service.h"

namespace samphire {

// Picks the leader of a ledger shard among the alive members of the region, by
// rendezvous hashing. May be called by any thread.
class member_shard_router final : public shard_router {
 public:
  // `membership` must outlive this object.
  explicit member_shard_router(const membership_service& membership)
      : membership_(membership) {}

  // Returns the peer address of the leader; empty if this entry leads the shard
  // or no member is alive.
  std::string LeaderOf(std::uint32_t shard) const override;

 private:
  const membership_service& membership_;
};

}  // namespace samphire

#endif  // MEMBERSHIP_MEMBER_SHARD_ROUTER_H_
