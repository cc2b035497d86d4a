#include <catch2/catch.hpp>

#include "decision/retry_budget.h"
#include "decision/retry_policy.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr time_point kNow{std::chrono::hours(1)};

attempt_summary Attempt(attempt_outcome outcome, bool repeatable) {
  return {.outcome = outcome,
          .attempts = 1,
          .max_attempts = 3,
          .repeatable = repeatable,
          .may_have_run = false,
          .budget_allows = true,
          .deadline = kNow + 1s,
          .expected_service = 50ms};
}

bool Retries(const attempt_summary& attempt) {
  return std::holds_alternative<retry_elsewhere>(DecideRetry(attempt, kNow));
}

final_result Final(const attempt_summary& attempt) {
  return std::get<final_result>(DecideRetry(attempt, kNow));
}

}  // namespace

// A gate acknowledgement was sent and the connection broke. If it were sent
// again, it might be recorded twice.
TEST_CASE("a request that must run once is retried only if it did not run") {
  using enum attempt_outcome;
  for (const auto outcome : {kConnectFailed, kTargetShed})
    CHECK(Retries(Attempt(outcome, false)));
  for (const auto outcome : {kLost, kTruncated, kTimedOut, kTargetError})
    CHECK_FALSE(Retries(Attempt(outcome, false)));
  CHECK(Final(Attempt(kLost, false)).run == run_state::kUnknown);
  // A refusal by a second target does not mean that the first attempt did not
  // run.
  auto second = Attempt(kTargetShed, false);
  second.may_have_run = true;
  CHECK(Final(second).run == run_state::kUnknown);
}

TEST_CASE("a repeatable request is retried after any failure but a time-out") {
  using enum attempt_outcome;
  for (const auto outcome :
       {kConnectFailed, kTargetShed, kLost, kTruncated, kTargetError})
    CHECK(Retries(Attempt(outcome, true)));
  for (const auto outcome : {kOk, kTimedOut, kCancelled})
    CHECK_FALSE(Retries(Attempt(outcome, true)));
}

TEST_CASE("attempts, deadline and budget each end the retries") {
  auto attempt = Attempt(attempt_outcome::kConnectFailed, true);
  attempt.attempts = 3;
  CHECK(Final(attempt).code == result_code::kTargetUnreachable);
  attempt = Attempt(attempt_outcome::kConnectFailed, true);
  attempt.deadline = kNow + 50ms;
  CHECK(Final(attempt).code == result_code::kTargetUnreachable);
  attempt = Attempt(attempt_outcome::kConnectFailed, true);
  attempt.budget_allows = false;
  CHECK(Final(attempt).code == result_code::kRetryBudgetSpent);
  CHECK(Final(attempt).run == run_state::kNotRun);
  // The target's own error response is passed on instead of the information
  // that the budget is spent.
  attempt.outcome = attempt_outcome::kTargetError;
  CHECK(Final(attempt).code == result_code::kOk);
}

// Every target sheds load at once. If each refused request were attempted three
// times, the load would be three times what was already too much.
TEST_CASE("retries stay within their share when every target sheds") {
  retry_budget budget(10);
  int retries = 0;
  constexpr int kRequests = 10'000;
  auto now = kNow;
  for (int i = 0; i < kRequests; ++i) {
    now += 1ms;
    budget.OnFirstAttempt(now);
    auto attempt = Attempt(attempt_outcome::kTargetShed, true);
    attempt.deadline = now + 1s;
    attempt.budget_allows = budget.Allows(now);
    while (std::holds_alternative<retry_elsewhere>(DecideRetry(attempt, now))) {
      budget.Spend(now);
      ++retries;
      ++attempt.attempts;
      attempt.budget_allows = budget.Allows(now);
    }
  }
  // A tenth of the requests, and the constant part: 1 at the start and 0.1 a
  // second.
  CHECK(retries <= kRequests / 10 + 2);
  CHECK(retries >= kRequests / 10 - 1);
}

TEST_CASE("a quiet service may retry occasionally but not in a burst") {
  retry_budget budget(10);
  CHECK(budget.Allows(kNow));
  budget.Spend(kNow);
  CHECK_FALSE(budget.Allows(kNow + 9s));
  CHECK(budget.Allows(kNow + 11s));
  int burst = 0;
  const auto later = kNow + 24h;
  for (; budget.Allows(later); ++burst)
    budget.Spend(later);
  CHECK(burst == 10);
}
