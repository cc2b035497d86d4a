#include "routing/token_bucket.h"

#include <algorithm>

namespace samphire {

void token_bucket::Refill(double rate, double capacity, time_point now) {
  const auto passed = std::chrono::duration<double>(now - refilled_).count();
  refilled_ = std::max(refilled_, now);
  tokens_ = std::min(capacity, tokens_ + rate * std::max(0.0, passed));
}

bool token_bucket::TryTake() {
  if (tokens_ < 1)
    return false;
  --tokens_;
  return true;
}

void token_bucket::Add(double tokens, double capacity) {
  tokens_ = std::min(capacity, tokens_ + tokens);
}

}  // namespace samphire
