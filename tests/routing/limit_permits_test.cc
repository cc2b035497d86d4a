#include "routing/limit_permits.h"

#include <catch2/catch.hpp>

#include "limits/limit_run.h"
#include "routing/permit_grantors.h"
#include "routing/startup_allowance.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

const time_point kStart{1h};
constexpr rate_limit kLimit{.rate = 30, .burst = 30};
constexpr auto kOwner = permit_role::kOwner;

permit_shares Shares(std::size_t regions) {
  return {.regions = regions, .unchanged_since = kStart};
}

int TakeAll(limit_permits& permits,
            permit_role role,
            const permit_shares& shares,
            time_point now) {
  int taken = 0;
  while (taken < 1000 && permits.Take(role, kLimit, shares, now).granted)
    ++taken;
  return taken;
}

}  // namespace

TEST_CASE("an owner grants its region's share of the limit") {
  limit_permits permits;
  const auto shares = Shares(3);
  CHECK(TakeAll(permits, kOwner, shares, kStart + 10s) == 10);
  CHECK(TakeAll(permits, kOwner, shares, kStart + 11s) == 10);
  CHECK(TakeAll(permits, kOwner, shares, kStart + 11500ms) == 5);
}

// Guards against a second burst when the previous owner has just granted one.
TEST_CASE("a new owner starts with what has accrued since it became one") {
  limit_permits permits;
  CHECK(TakeAll(permits, kOwner, Shares(1), kStart) == 0);
  CHECK(TakeAll(permits, kOwner, Shares(1), kStart + 100ms) == 3);
}

// Guards against several bursts when entries start together and more than one
// acts as the owner.
TEST_CASE("an entry that has just started grants no burst") {
  limit_permits permits;
  auto shares = Shares(1);
  shares.settled = false;
  CHECK(TakeAll(permits, kOwner, shares, kStart + 4s) == 1);
  CHECK(TakeAll(permits, kOwner, shares, kStart + 4100ms) == 1);
}

// Guards against granting old tokens in addition to those that another owner
// granted in the meantime.
TEST_CASE("an owner that lost and regained a team starts without tokens") {
  limit_permits permits;
  CHECK(TakeAll(permits, kOwner, Shares(1), kStart + 10s) == 30);
  permits.LoseOwnership();
  auto shares = Shares(1);
  shares.unchanged_since = kStart + 20s;
  CHECK(TakeAll(permits, kOwner, shares, kStart + 20s) == 0);
}

// Guards against the owners on both sides of a partition each granting the
// whole share of the region.
TEST_CASE("both sides of a partitioned region divide its share") {
  auto shares = Shares(1);
  shares.region_entries = 10;
  shares.region_peak = 30;
  limit_permits permits;
  CHECK(TakeAll(permits, kOwner, shares, kStart + 10s) == 10);
}

TEST_CASE("isolated entries together grant at most half of the limit") {
  auto shares = Shares(3);
  shares.fleet_peak = 10;
  limit_permits permits;
  CHECK(TakeAll(permits, permit_role::kAlone, shares, kStart) == 1);
  CHECK(TakeAll(permits, permit_role::kAlone, shares, kStart + 10s) == 1);
  CHECK(shares.Of(permit_role::kAlone) * 10 <= 0.5);
}

TEST_CASE("a permit that was not used is granted again") {
  limit_permits permits;
  const auto shares = Shares(3);
  TakeAll(permits, kOwner, shares, kStart + 10s);
  permits.ReturnPermit(kOwner, kLimit, shares);
  CHECK(TakeAll(permits, kOwner, shares, kStart + 10s) == 1);
}

// Guards against refused callers that all retry at the same time.
TEST_CASE("retry times of refused callers are staggered") {
  limit_permits permits;
  const auto shares = Shares(3);
  const auto now = kStart + 10s;
  TakeAll(permits, kOwner, shares, now);
  auto last = 0ms;
  for (int i = 0; i < 10; ++i) {
    const auto decision = permits.Take(kOwner, kLimit, shares, now);
    REQUIRE_FALSE(decision.granted);
    CHECK(decision.retry_after >= last + 90ms);
    last = decision.retry_after;
  }
  for (int i = 0; i < 1000; ++i)
    last = permits.Take(kOwner, kLimit, shares, now).retry_after;
  CHECK(last <= 3s);
}

TEST_CASE("lending moves permits between regions without creating any") {
  limit_permits lender;
  limit_permits borrower;
  const auto shares = Shares(3);
  const auto now = kStart + 10s;
  CHECK(TakeAll(borrower, kOwner, shares, now) == 10);
  CHECK(borrower.ShouldBorrow(kLimit, shares, now));
  CHECK_FALSE(borrower.ShouldBorrow(kLimit, shares, now + 99ms));
  const double lent = lender.Lend(kLimit, shares, now);
  CHECK(lent > 3);
  borrower.OnBorrowed(lent, kLimit, shares, now);
  CHECK(TakeAll(lender, kOwner, shares, now) +
            TakeAll(borrower, kOwner, shares, now) <=
        10);
}

// Guards against a team exceeding its limit after a restart of all entries,
// which then have no record of its usage and don't know each other.
TEST_CASE("the startup allowance limits a team far above its share") {
  startup_allowance allowance;
  int hot = 0;
  int usual = 0;
  for (int i = 0; i < 100; ++i) {
    hot += allowance.TryTake("hot", 0.1) ? 1 : 0;
    usual += allowance.TryTake("usual-" + std::to_string(i % 10), 0.09) ? 1 : 0;
  }
  CHECK(usual == 100);
  CHECK(hot <= 45);
  CHECK(hot >= 30);
}

TEST_CASE("the backup becomes the owner when the owner is gone") {
  const std::vector<std::string> names = {"a", "b", "c", "d"};
  const auto chosen = ChooseGrantors("team", names);
  REQUIRE(chosen.owner);
  REQUIRE(chosen.backup);
  auto without = names;
  without.erase(without.begin() + static_cast<std::ptrdiff_t>(*chosen.owner));
  const auto next = ChooseGrantors("team", without);
  CHECK(without[*next.owner] == names[*chosen.backup]);
  CHECK_FALSE(ChooseGrantors("team", {}).owner);
  CHECK_FALSE(ChooseGrantors("team", {"a"}).backup);
}

// Guards against a team at nine times its usual rate exceeding its limit or
// causing refusals for other teams.
TEST_CASE("a hot team stays within its limit without refusals for others") {
  for (const auto& scenario : kLimitScenarios) {
    if (scenario.entries > 100)
      continue;
    INFO(scenario.name);
    const auto report =
        RunLimitScenario(scenario, limit_mechanism::kLendingOwners, 1);
    CHECK(report.worst_window <= 1);
    if (scenario.kills_half)
      continue;
    CHECK(report.refused_share() < 0.05);
    CHECK((scenario.hot_teams == 0 || report.hot_share() > 0.9));
  }
}
