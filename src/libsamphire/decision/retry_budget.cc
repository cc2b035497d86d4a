#include "decision/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace samphire {

namespace {

// Protects against the situation in which every target fails or sheds load:
// each retry then adds load to an overloaded service, and callers that retry as
// well multiply it. With retries limited to a share of first attempts, the load
// that this entry adds stays within that share, whatever fails.
//
// Saved tokens cover the loss of one target under load, which is about its
// slots spread over a few entries; more would be a burst of retries of its own.
constexpr double kMaxTokens = 10;
// Without this, a service with a handful of requests a minute would never
// collect a token from the share alone.
constexpr double kMinRetriesPerSecond = 0.1;

}  // namespace

void retry_budget::OnFirstAttempt(time_point now) {
  Refill(now);
  tokens_ = std::min(kMaxTokens, tokens_ + percent_ / 100.0);
}

bool retry_budget::Allows(time_point now) {
  Refill(now);
  return tokens_ >= 1;
}

void retry_budget::Spend(time_point now) {
  Refill(now);
  tokens_ = std::max(0.0, tokens_ - 1);
}

void retry_budget::Refill(time_point now) {
  // A new entry may retry once immediately: it has seen no first attempts yet.
  if (last_refill_ == time_point{}) {
    tokens_ = 1;
  } else {
    const std::chrono::duration<double> passed = now - last_refill_;
    tokens_ = std::min(kMaxTokens, tokens_ + std::max(0.0, passed.count()) *
                                                 kMinRetriesPerSecond);
  }
  last_refill_ = now;
}

}  // namespace samphire
