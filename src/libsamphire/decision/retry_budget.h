#ifndef DECISION_RETRY_BUDGET_H_
#define DECISION_RETRY_BUDGET_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// Token bucket that limits retries to a percentage of the first attempts, plus
// a small constant rate. Not thread-safe.
class retry_budget {
 public:
  // `percent` is the number of retries allowed per 100 first attempts.
  explicit retry_budget(std::uint32_t percent) : percent_(percent) {}

  void SetPercent(std::uint32_t percent) { percent_ = percent; }
  // Adds the share of a token that one first attempt earns.
  void OnFirstAttempt(time_point now);
  // Returns whether a retry is within the budget; the caller must then call
  // Spend for the retry.
  bool Allows(time_point now);
  void Spend(time_point now);

 private:
  void Refill(time_point now);

  std::uint32_t percent_;
  double tokens_ = 0;
  time_point last_refill_;
};

}  // namespace samphire

#endif  // DECISION_RETRY_BUDGET_H_
