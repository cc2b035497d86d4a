#include "decision/shift_budget.h"

#include <catch2/catch.hpp>

#include "support/small_service.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr time_point kStart{std::chrono::hours(1)};

shift_budget Budget(const shift_cap& cap, const shift_share& share) {
  shift_budget made("home");
  made.SetCaps({cap}, share);
  return made;
}

}  // namespace

// A region is lost and each of four entries admits its share of the cap. If the
// shares added up to more than the cap, the shift would exceed it.
TEST_CASE("the shares of all partitions add up to the cap exactly") {
  for (std::uint32_t partitions = 1; partitions <= 9; ++partitions) {
    for (std::uint32_t most = 0; most <= 20; ++most) {
      std::uint32_t sum = 0;
      for (std::uint32_t partition = 0; partition < partitions; ++partition) {
        auto budget =
            Budget({"lost", "home", most, most, 0}, {{partition}, partitions});
        budget.OnArrival("lost", kStart);
        sum += budget.limit("lost", kStart);
      }
      CHECK(sum == most);
    }
  }
}

TEST_CASE("a shift grows by its ramp and falls back after a quiet time") {
  auto budget = Budget({"lost", "home", 10, 2, 1}, {{0}, 1});
  budget.OnArrival("lost", kStart);
  CHECK(budget.limit("lost", kStart) == 2);
  budget.Start("lost", kStart);
  budget.Start("lost", kStart);
  CHECK(budget.free_capacity("lost", kStart) == 0);
  CHECK(budget.TimeUntilFreeCapacity("lost", kStart) == 1s);
  CHECK(budget.free_capacity("lost", kStart + 1s) == 1);
  CHECK(budget.limit("lost", kStart + 60s) == 10);
  budget.Release("lost", kStart + 60s);
  budget.Release("lost", kStart + 60s);
  budget.OnArrival("lost", kStart + 80s);
  CHECK(budget.limit("lost", kStart + 80s) == 10);
  budget.OnArrival("lost", kStart + 111s);
  CHECK(budget.limit("lost", kStart + 111s) == 2);
}

TEST_CASE(
    "callers of the own region and of regions without a cap are not limited") {
  auto budget = Budget({"lost", "home", 1, 1, 0}, {{0}, 1});
  for (int i = 0; i < 5; ++i) {
    budget.Start("home", kStart);
    budget.Start("other", kStart);
  }
  CHECK(budget.free_capacity("home", kStart) > 1000);
  CHECK(budget.free_capacity("other", kStart) > 1000);
}

TEST_CASE("a cap that is lowered starts nothing until the shift is below it") {
  auto budget = Budget({"lost", "home", 4, 4, 0}, {{0}, 1});
  budget.OnArrival("lost", kStart);
  for (int i = 0; i < 4; ++i)
    budget.Start("lost", kStart);
  budget.SetCaps({{"lost", "home", 2, 2, 0}}, {{0}, 1});
  budget.Release("lost", kStart);
  budget.Release("lost", kStart);
  CHECK(budget.free_capacity("lost", kStart) == 0);
  budget.Release("lost", kStart);
  CHECK(budget.free_capacity("lost", kStart) == 1);
}

// A region is lost while this one has free slots. Callers over the cap must be
// told when the ramp will admit them, and not be admitted onto cold caches.
TEST_CASE("callers over the cap are told when the ramp admits them") {
  dispatcher_fixture entry(4, 4);
  entry.Run(20);
  entry.slots.SetShiftCaps({{"lost", "home", 10, 1, 0.5}}, {{0}, 1});
  CHECK(std::holds_alternative<slot_grant>(
      entry.Submit("reading", 60ms, "lost")));
  const auto refused = entry.Submit("reading", 60ms, "lost");
  REQUIRE(RefusalOf(refused) == result_code::kShiftCapReached);
  CHECK(std::get<refusal>(refused).retry_after == 2000ms);
  CHECK(std::holds_alternative<slot_grant>(entry.Submit("reading", 60ms)));
  entry.now += 2s;
  CHECK(std::holds_alternative<slot_grant>(
      entry.Submit("reading", 60ms, "lost")));
}
