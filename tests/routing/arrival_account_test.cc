#include "routing/arrival_account.h"

#include <catch2/catch.hpp>

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr sent_request kNotArrived{};
constexpr sent_request kRan{.arrived = true, .may_have_run = true};
constexpr sent_request kStale{.arrived = true,
                              .may_have_run = true,
                              .may_have_been_stale = true};
constexpr sent_request kRefused{.arrived = true};
constexpr retry_bound kOneRetry{.ratio = 0, .slack = 1.25};
constexpr time_point kNow{1h};

struct account_setup {
  retry_window retries;
  arrival_account account;

  bool Pay() {
    return account.PayForNext(retries, kOneRetry, {.entries = 1}, kNow);
  }
};

}  // namespace

// Guards against a send that nobody pays for, since the one before ended in a
// way that does not look like an arrival.
TEST_CASE("each arrival beyond the first is paid for, however the last ended") {
  const auto first = GENERATE(kRan, kStale, kRefused);
  account_setup r;
  CHECK(r.Pay());
  CHECK(r.account.OnSent(first) == arrival_cause::kFirst);
  CHECK(r.Pay());
  r.account.OnSent(kRan);
  CHECK_FALSE(r.Pay());
}

// Guards against refusing callers whose requests reached no target.
TEST_CASE("sends that do not arrive are free") {
  account_setup r;
  for (int i = 0; i < 3; ++i) {
    CHECK(r.Pay());
    CHECK(r.account.OnSent(kNotArrived) == arrival_cause::kFirst);
  }
  r.account.OnSent(kRan);
  for (int i = 0; i < 3; ++i) {
    CHECK(r.Pay());
    r.account.OnSent(kNotArrived);
  }
  CHECK(r.account.OnSent(kRan) == arrival_cause::kRetry);
  CHECK_FALSE(r.Pay());
}

// Guards against a caller who loses a request on a forgotten connection, since
// nothing is left to send it again.
TEST_CASE("only a request that can be sent again uses any kept connection") {
  arrival_account account;
  CHECK(account.NextConnection(2, true) == connection_use::kAny);
  CHECK(account.NextConnection(2, false) == connection_use::kRecent);
  CHECK(account.NextConnection(1, true) == connection_use::kRecent);
  account.OnSent(kStale);
  CHECK(account.runs() == 1);
  CHECK(account.NextConnection(3, true) == connection_use::kNew);
  CHECK(account.OnSent(kRan) == arrival_cause::kKeptConnectionLost);
}
