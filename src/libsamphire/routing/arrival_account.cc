#include "routing/arrival_account.h"

namespace samphire {

bool arrival_account::PayForNext(retry_window& retries,
                                 const retry_bound& bound,
                                 const retry_share& share,
                                 time_point now) {
  if (arrivals_ > 0 && !is_next_paid_)
    is_next_paid_ = retries.TryTake(bound, share, now);
  return arrivals_ == 0 || is_next_paid_;
}

arrival_cause arrival_account::OnSent(const sent_request& sent) {
  auto cause = arrival_cause::kFirst;
  if (was_stale_)
    cause = arrival_cause::kKeptConnectionLost;
  else if (arrivals_ > 0)
    cause = arrival_cause::kRetry;
  if (sent.arrived) {
    ++arrivals_;
    is_next_paid_ = false;
    was_stale_ = sent.may_have_been_stale;
  }
  if (sent.may_have_run)
    ++runs_;
  return cause;
}

// A request that is lost on a kept connection needs a second send and counts as
// a run. Where either would not be allowed, its caller would lose it.
connection_use arrival_account::NextConnection(std::uint32_t max_runs,
                                               bool may_retry) const {
  if (was_stale_)
    return connection_use::kNew;
  return may_retry && runs_ + 1 < max_runs ? connection_use::kAny
                                           : connection_use::kRecent;
}

}  // namespace samphire
