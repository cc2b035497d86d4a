#ifndef LEDGER_LOCAL_SHARD_ROUTER_H_
#define LEDGER_LOCAL_SHARD_ROUTER_H_

#include <string>

#include "ledger/shard_router.h"

namespace samphire {

// Shard router without leaders: each entry commits to every shard directly.
class local_shard_router final : public shard_router {
 public:
  std::string LeaderOf(std::uint32_t) const override { return {}; }
};

}  // namespace samphire

#endif  // LEDGER_LOCAL_SHARD_ROUTER_H_
