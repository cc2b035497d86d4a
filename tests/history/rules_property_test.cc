#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>

#include "history/history_measures.h"
#include "history_builder.h"

using namespace samphire;

namespace {

// Returns a history that violates no rule: runs at one target with two slots,
// never more than two at the same time, each with its request and answer.
history_builder ValidHistory(const std::vector<std::uint8_t>& lengths) {
  history_builder history;
  std::array<history_time, 2> free_at{};
  int number = 0;
  for (const auto length : lengths) {
    auto& slot = *std::min_element(free_at.begin(), free_at.end());
    const auto from = slot;
    slot += 1 + length;
    history.Answered("r" + std::to_string(number++), from, slot);
  }
  return history;
}

std::vector<std::uint8_t> Lengths() {
  return *rc::gen::nonEmpty(
      rc::gen::container<std::vector<std::uint8_t>>(rc::gen::inRange(0, 90)));
}

}  // namespace

TEST_CASE("property: a valid history is clean by every rule") {
  CHECK(rc::check([] {
    const auto history = ValidHistory(Lengths());
    RC_ASSERT(!AnyViolated(JudgeHistory(history.events(), {})));
  }));
}

TEST_CASE("property: a third run while both slots are busy is always found") {
  CHECK(rc::check([] {
    auto history = ValidHistory(Lengths());
    history.Run(1, "s/a", "x", 5000, 5010).Run(2, "s/a", "y", 5000, 5010);
    const auto from = *rc::gen::inRange(5000, 5009);
    const auto length = *rc::gen::inRange(1, 50);
    history.Run(3, "s/a", "z", from, from + length);
    RC_ASSERT(history.Judge("slots").kind() == verdict_kind::kViolated);
  }));
}

TEST_CASE("property: any second run of a key is found") {
  CHECK(rc::check([] {
    auto history = ValidHistory(Lengths());
    const auto first = *rc::gen::inRange(0, 10'000);
    const auto second = *rc::gen::inRange(0, 10'000);
    history.Run(1, "s/a", "x", first, first + 1, "key")
        .Run(2, "s/b", "y", second, second + 1, "key");
    RC_ASSERT(history.Judge("at-most-once").kind() == verdict_kind::kViolated);
  }));
}

// The versions reported by an entry are in random order. Whenever a report that
// was requested after another was answered has a lower version, the rule must
// find it.
TEST_CASE("property: versions are judged as if every pair were compared") {
  CHECK(rc::check([] {
    history_builder history;
    const auto count = *rc::gen::inRange(2, 12);
    std::vector<config_seen> seen;
    for (int i = 0; i < count; ++i) {
      const history_time asked = *rc::gen::inRange(0, 100);
      seen.push_back({.time_us = asked + *rc::gen::inRange(1, 30),
                      .asked_us = asked,
                      .entry = "e",
                      .version = *rc::gen::inRange(1, 4)});
      history.Add(seen.back());
    }
    bool went_back = false;
    for (const auto& a : seen) {
      for (const auto& b : seen)
        went_back |= a.time_us < b.asked_us && b.version < a.version;
    }
    const auto verdict = history.Judge("configuration");
    RC_ASSERT((verdict.kind() == verdict_kind::kViolated) == went_back);
  }));
}

TEST_CASE("headroom and drain time are computed from the runs") {
  history_builder history;
  history.Run(1, "s/a", "one", 0, 40).Run(2, "s/b", "two", 0, 10);
  history.Add(target_leaving{.time_us = Ms(10), .target = "s/a"});
  history.Add(target_leaving{.time_us = Ms(20), .target = "s/b"});
  const auto events = history.events();
  const auto measures = MeasureHistory(history_index(events));
  REQUIRE(measures.headroom.size() == 2);
  CHECK(measures.headroom[0].slots - measures.headroom[0].peak_in_flight == 1);
  REQUIRE(measures.drains.size() == 2);
  CHECK(measures.drains[0].time == microseconds(30'000));
  CHECK(measures.drains[1].time == microseconds(0));
}
