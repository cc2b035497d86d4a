#ifndef ROUTING_LIMIT_PERMITS_H_
#define ROUTING_LIMIT_PERMITS_H_

#include <optional>

#include "base/clock_source.h"
#include "routing/permit_decision.h"
#include "routing/permit_role.h"
#include "routing/permit_shares.h"
#include "routing/rate_limit.h"
#include "routing/token_bucket.h"

namespace samphire {

// Grants permits from one entry's share of a limit. Performs no I/O and
// takes the time as an argument. Not thread-safe.
class limit_permits {
 public:
  // Grants a permit for one run of a request, or returns when to retry.
  permit_decision Take(permit_role role,
                       const rate_limit& limit,
                       const permit_shares& shares,
                       time_point now);
  // Takes back an unused permit that was granted in `role`.
  void ReturnPermit(permit_role role,
                    const rate_limit& limit,
                    const permit_shares& shares);

  // Returns whether to borrow from the owners in other regions now, which is at
  // most once every 100 ms.
  bool ShouldBorrow(const rate_limit& limit,
                    const permit_shares& shares,
                    time_point now);
  // Removes permits from this owner's bucket for the owner in another region
  // and returns how many.
  double Lend(const rate_limit& limit,
              const permit_shares& shares,
              time_point now);
  // Adds permits lent by the owner in another region to this owner's bucket.
  // Those above its capacity are lost.
  void OnBorrowed(double permits,
                  const rate_limit& limit,
                  const permit_shares& shares,
                  time_point now);

  // Discards the owner's tokens. Called when another entry becomes the owner,
  // which may grant the same share.
  void LoseOwnership() { owner_bucket_.reset(); }

 private:
  token_bucket& Bucket(permit_role role,
                       const rate_limit& limit,
                       const permit_shares& shares,
                       time_point now);

  std::optional<token_bucket> owner_bucket_;
  std::optional<token_bucket> backup_bucket_;
  std::optional<token_bucket> alone_bucket_;
  // The retry time given to the last refused caller.
  time_point next_retry_;
  time_point last_borrow_;
};

}  // namespace samphire

#endif  // ROUTING_LIMIT_PERMITS_H_
