#ifndef ALLOWANCE_LENDER_DIGEST_H_
#define ALLOWANCE_LENDER_DIGEST_H_

#include <cstdint>
#include <string>

namespace samphire {

// What gossip last told of a peer that may lend. It lags.
struct lender_digest {
  std::string peer;
  std::uint32_t free_slots = 0;
};

}  // namespace samphire

#endif  // ALLOWANCE_LENDER_DIGEST_H_
