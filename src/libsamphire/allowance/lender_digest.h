#ifndef ALLOWANCE_LENDER_DIGEST_H_
#define ALLOWANCE_LENDER_DIGEST_H_

#include <cstdint>
#include <string>

namespace samphire {

// Load of a peer that may lend slots of a service, as last received by gossip.
// It lags behind the peer's actual state.
struct lender_digest {
  // Instance name of the peer.
  std::string peer;
  std::uint32_t free_slots = 0;
};

}  // namespace samphire

#endif  // ALLOWANCE_LENDER_DIGEST_H_
