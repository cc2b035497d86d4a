#include "routing/limit_permits.h"

#include <algorithm>
#include <cmath>

namespace samphire {

namespace {

// A backup grants permits for a few seconds only, so its bucket holds just
// enough to absorb short bursts.
constexpr double kBackupBurstSeconds = 0.2;
constexpr milliseconds kBorrowInterval{100};
// Fraction of its capacity that an owner does not lend.
constexpr double kRetainedFraction = 0.25;
// An owner borrows when it holds less than this fraction of its capacity.
constexpr double kBorrowThreshold = 0.5;
// Longer delays would exceed most callers' deadlines.
constexpr milliseconds kMaxRetryAfter{3000};

double RateOf(permit_role role,
              const rate_limit& limit,
              const permit_shares& shares) {
  return limit.rate * shares.Of(role);
}

// Entries that start together may each act as a team's owner for a while. No
// burst is granted then, as it would be granted several times over.
double OwnerCapacity(const rate_limit& limit, const permit_shares& shares) {
  const double minimum = std::max(1.0, shares.reserve);
  const double burst = limit.burst * shares.Of(permit_role::kOwner);
  return shares.settled ? std::max(minimum, burst) : minimum;
}

// Returns at least 1, since a smaller bucket would never grant a permit.
double CapacityOf(permit_role role,
                  const rate_limit& limit,
                  const permit_shares& shares) {
  switch (role) {
    case permit_role::kOwner:
      return OwnerCapacity(limit, shares);
    case permit_role::kBackup:
      return std::max({1.0, shares.reserve,
                       RateOf(role, limit, shares) * kBackupBurstSeconds});
    case permit_role::kAlone:
      return 1;
  }
  return 0;
}

milliseconds AccrualTime(double tokens, double rate) {
  const double seconds = rate > 0 ? std::max(0.0, tokens) / rate : 0;
  return milliseconds(std::llround(seconds * 1000));
}

}  // namespace

// A new owner starts with the reserve and what has accrued since the entries
// last changed, since its predecessor may just have granted the whole burst.
token_bucket& limit_permits::Bucket(permit_role role,
                                    const rate_limit& limit,
                                    const permit_shares& shares,
                                    time_point now) {
  const auto select = [&]() -> token_bucket& {
    switch (role) {
      case permit_role::kOwner:
        if (!owner_bucket_)
          owner_bucket_.emplace(shares.reserve,
                                std::min(now, shares.unchanged_since));
        return *owner_bucket_;
      case permit_role::kBackup:
        if (!backup_bucket_)
          backup_bucket_.emplace(std::max(1.0, shares.reserve), now);
        return *backup_bucket_;
      case permit_role::kAlone:
        break;
    }
    if (!alone_bucket_)
      alone_bucket_.emplace(shares.alone_reserve, now);
    return *alone_bucket_;
  };
  auto& bucket = select();
  bucket.Refill(RateOf(role, limit, shares), CapacityOf(role, limit, shares),
                now);
  return bucket;
}

// Staggers the retry times of refused callers at the rate at which permits
// accrue, so that they don't all retry at once.
permit_decision limit_permits::Take(permit_role role,
                                    const rate_limit& limit,
                                    const permit_shares& shares,
                                    time_point now) {
  auto& bucket = Bucket(role, limit, shares, now);
  if (bucket.TryTake())
    return {.granted = true};
  const double rate = RateOf(role, limit, shares);
  const auto earliest = now + AccrualTime(1 - bucket.tokens(), rate);
  next_retry_ = std::max(earliest, next_retry_ + AccrualTime(1, rate));
  next_retry_ = std::min(next_retry_, now + kMaxRetryAfter);
  return {.retry_after = std::chrono::ceil<milliseconds>(next_retry_ - now)};
}

void limit_permits::ReturnPermit(permit_role role,
                                 const rate_limit& limit,
                                 const permit_shares& shares) {
  auto& bucket = role == permit_role::kOwner    ? owner_bucket_
                 : role == permit_role::kBackup ? backup_bucket_
                                                : alone_bucket_;
  if (bucket)
    bucket->Add(1, CapacityOf(role, limit, shares));
}

bool limit_permits::ShouldBorrow(const rate_limit& limit,
                                 const permit_shares& shares,
                                 time_point now) {
  const double threshold =
      kBorrowThreshold * CapacityOf(permit_role::kOwner, limit, shares);
  if (shares.regions < 2 || !owner_bucket_ ||
      owner_bucket_->tokens() >= threshold ||
      now - last_borrow_ < kBorrowInterval)
    return false;
  last_borrow_ = now;
  return true;
}

// Lends half of the surplus, so that some is left for other borrowers.
double limit_permits::Lend(const rate_limit& limit,
                           const permit_shares& shares,
                           time_point now) {
  auto& bucket = Bucket(permit_role::kOwner, limit, shares, now);
  const double retained =
      kRetainedFraction * CapacityOf(permit_role::kOwner, limit, shares);
  const double lent = std::max(0.0, (bucket.tokens() - retained) / 2);
  bucket.Remove(lent);
  return lent;
}

void limit_permits::OnBorrowed(double permits,
                               const rate_limit& limit,
                               const permit_shares& shares,
                               time_point now) {
  Bucket(permit_role::kOwner, limit, shares, now)
      .Add(permits, CapacityOf(permit_role::kOwner, limit, shares));
}

}  // namespace samphire
