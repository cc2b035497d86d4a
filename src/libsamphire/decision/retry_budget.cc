#include "decision/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace samphire {

namespace {

// Made for the moment in which every target fails or sheds: each retry is then
// further load on what is already too much, and callers who retry as well
// multiply it. Bound to a share of first attempts, the load that this entry
// adds stays that share, whatever fails.
//
// Saved tokens are for one target that dies under load, about its slots over a
// few entries; more would be a burst of their own.
constexpr double kMaxTokens = 10;
// At a handful of requests a minute the share alone would never allow one.
constexpr double kTricklePerSecond = 0.1;

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
  // A new entry may retry once at once: it has no first attempts to show yet.
  if (refilled_ == time_point{}) {
    tokens_ = 1;
  } else {
    const std::chrono::duration<double> passed = now - refilled_;
    tokens_ = std::min(kMaxTokens, tokens_ + std::max(0.0, passed.count()) *
                                                 kTricklePerSecond);
  }
  refilled_ = now;
}

}  // namespace samphire
