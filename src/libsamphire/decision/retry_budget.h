#ifndef DECISION_RETRY_BUDGET_H_
#define DECISION_RETRY_BUDGET_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// Bounds retries to a share of the first attempts, plus a trickle.
class retry_budget {
 public:
  explicit retry_budget(std::uint32_t percent) : percent_(percent) {}

  void SetPercent(std::uint32_t percent) { percent_ = percent; }
  void OnFirstAttempt(time_point now);
  // Whether a retry is within the budget; the retry must then Spend.
  bool Allows(time_point now);
  void Spend(time_point now);

 private:
  void Refill(time_point now);

  std::uint32_t percent_;
  double tokens_ = 0;
  time_point refilled_;
};

}  // namespace samphire

#endif  // DECISION_RETRY_BUDGET_H_
