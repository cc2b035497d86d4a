#include "decision/shift_account.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <variant>
#include <vector>

#include "decision/service_dispatcher.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

const time_point kStart = time_point() + 1h;

service ServiceNamed(const std::string& name) {
  service declared{.name = name};
  declared.classes.push_back({.name = "read",
                              .method = "GET",
                              .path = "/**",
                              .deadline = 1s,
                              .max_deadline = 1s,
                              .queue_limit = 8});
  declared.targets.push_back({.name = "w1",
                              .address = "127.0.0.1:1",
                              .failure_domain = "east-a",
                              .slots = 8});
  return declared;
}

shift_account_ptr CapOf(std::uint32_t cap) {
  shift_account_ptr account(new shift_account("east"));
  account->SetCaps(
      {{.from = "west", .to = "east", .max_in_flight = cap, .initial = cap}},
      {.partitions = {0}, .partition_count = 1});
  return account;
}

}  // namespace

TEST_CASE("a cap on a shift holds for all services together") {
  // Region "west" is lost and callers of two services move to "east" at once.
  // If each service counted on its own, "east" would get twice what its
  // operators declared, on cold caches.
  const auto account = CapOf(4);
  limits bounds;
  bounds.cold_start_ramp = milliseconds(0);
  const auto first = ServiceNamed("a");
  const auto second = ServiceNamed("b");
  service_dispatcher a(first, bounds, account, 1);
  service_dispatcher b(second, bounds, account, 2);
  a.SetOwnedSlots({{"w1", 8}}, kStart);
  b.SetOwnedSlots({{"w1", 8}}, kStart);
  int granted = 0;
  for (std::uint64_t id = 1; id <= 8; ++id) {
    for (auto* each : {&a, &b}) {
      const auto& rules = each == &a ? first.classes[0] : second.classes[0];
      const auto decision = each->Submit({.id = id,
                                          .request_class = &rules,
                                          .home_region = "west",
                                          .arrived = kStart,
                                          .deadline = kStart + 1s},
                                         kStart);
      granted += std::holds_alternative<slot_grant>(decision) ? 1 : 0;
    }
  }
  CHECK(granted == 4);
}

TEST_CASE("the last unit of a shift goes to one of two threads") {
  // Two services check at the same moment, and both see one free unit.
  const auto account = CapOf(100);
  std::vector<std::thread> threads;
  threads.reserve(4);
  std::atomic<int> taken{0};
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      for (int n = 0; n < 1000; ++n)
        taken += account->TryStart("west", kStart) ? 1 : 0;
    });
  }
  for (auto& each : threads)
    each.join();
  CHECK(taken == 100);
}

TEST_CASE("work beyond the share is detected after a partition is released") {
  const auto account = CapOf(4);
  for (int i = 0; i < 3; ++i)
    REQUIRE(account->TryStart("west", kStart));
  CHECK_FALSE(account->IsOverLimit(kStart));
  account->SetCaps(
      {{.from = "west", .to = "east", .max_in_flight = 4, .initial = 4}},
      {.partitions = {0}, .partition_count = 2});
  CHECK(account->IsOverLimit(kStart));
  account->Release("west", kStart);
  CHECK_FALSE(account->IsOverLimit(kStart));
}
