#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

#include "routing/split_run.h"
#include "routing/weighted_split.h"

using namespace samphire;

namespace {

// Operators accept shares that are 0.1 off the weight and no more than 0.2.
constexpr double kMeanDeviation = 0.03;
constexpr double kLargeDeviation = 0.1;
constexpr double kMaxDeviation = 0.2;
constexpr double kLargeShareOfWindows = 0.01;
constexpr std::uint64_t kSeeds = 40;

using parts = std::vector<route_part>;

struct deviations {
  // The mean over windows, of each part's deviation.
  double mean = 0;
  double worst = 0;
  // The share of windows in which a part is off by more than 0.1.
  double large = 0;
};

deviations Measure(split_scenario scenario) {
  deviations found;
  double windows = 0;
  for (scenario.seed = 1; scenario.seed <= kSeeds; ++scenario.seed) {
    const auto phases = RunSplits<weighted_split>(
        scenario, [](std::uint64_t seed) { return weighted_split(seed); });
    for (std::size_t i = 0; i < phases.size(); ++i) {
      const auto& weights = scenario.phases[i];
      for (const auto& shares : phases[i].windows) {
        const double worst = DeviationOf(shares, weights);
        found.worst = std::max(found.worst, worst);
        found.large += worst > kLargeDeviation ? 1 : 0;
        found.mean += MeanDeviationOf(shares, weights);
        windows += 1;
      }
    }
  }
  found.mean /= windows;
  found.large /= windows;
  return found;
}

void CheckShares(const std::vector<parts>& phases) {
  for (const std::size_t entries : {1, 10, 90, 300}) {
    for (const std::size_t keys : {3, 20, 1000}) {
      for (const auto demand : {key_demand::kEqual, key_demand::kHarmonic,
                                key_demand::kOneDominant}) {
        const auto found = Measure({.entries = entries,
                                    .keys = keys,
                                    .demand = demand,
                                    .phases = phases});
        CAPTURE(entries, keys, static_cast<int>(demand));
        CHECK(found.mean <= kMeanDeviation);
        CHECK(found.large <= kLargeShareOfWindows);
        CHECK(found.worst <= kMaxDeviation);
      }
    }
  }
}

const parts kNineToOne = {{"a", 90}, {"b", 10}};
const parts kHalves = {{"a", 50}, {"b", 50}};
const parts kOnlyA = {{"a", 90}};
const parts kOnlyB = {{"b", 10}};

}  // namespace

// Guards against shares that follow the hash of a few popular keys because each
// of many entries begins with the key's own part.
TEST_CASE("a fleet keeps the weights from its first requests") {
  CheckShares({kHalves});
  CheckShares({kNineToOne});
}

// Guards against a part that gets nothing or everything after its weight was
// changed, because what was sent before counts against the new weight.
TEST_CASE("a fleet keeps the weights from the first requests after a change") {
  CheckShares({kNineToOne, kHalves, kNineToOne});
  CheckShares({{{"a", 80}, {"b", 20}}, {{"a", 20}, {"b", 80}}});
}

// Guards against a part that inherits what another part got, because parts are
// told apart by their positions.
TEST_CASE("a fleet keeps the weights when parts come, go and return") {
  CheckShares({kNineToOne, kOnlyA, kNineToOne, kOnlyB, kHalves});
  CheckShares({kHalves,
               {{"c", 30}, {"a", 40}, {"b", 30}},
               {{"c", 50}, {"b", 50}},
               {{"b", 25}, {"d", 75}}});
}

// Guards against a key that becomes popular and takes its part's share with it
// for as long as entries remember the demand before.
TEST_CASE(
    "a fleet returns to the weights within seconds of a new popular key") {
  split_scenario scenario{.entries = 90,
                          .keys = 1000,
                          .demand = key_demand::kOneDominant,
                          .phases = {kHalves, kHalves}};
  // The dominant key of the second phase is another one: a new seed for keys.
  scenario.changes_keys = true;
  constexpr std::size_t kWindowsOfTenSeconds = 4;
  for (scenario.seed = 1; scenario.seed <= kSeeds; ++scenario.seed) {
    const auto phases = RunSplits<weighted_split>(
        scenario, [](std::uint64_t seed) { return weighted_split(seed); });
    const auto& windows = phases[1].windows;
    for (std::size_t i = kWindowsOfTenSeconds; i < windows.size(); ++i) {
      CAPTURE(scenario.seed, i);
      CHECK(DeviationOf(windows[i], kHalves) <= kMaxDeviation);
    }
  }
}

// Guards against targets that lose their memory of keys at each change: a
// target that knows a key needs a third of the work.
TEST_CASE("keys move little more than the weights do") {
  for (const std::size_t entries : {1, 10}) {
    split_scenario scenario{.entries = entries,
                            .keys = 100,
                            .demand = key_demand::kEqual,
                            .phases = {{{"a", 80}, {"b", 20}},
                                       {{"a", 80}, {"b", 20}},
                                       {{"a", 60}, {"b", 40}}},
                            .requests_per_phase = 20'000,
                            .request_rate = 1000};
    const auto phases = RunSplits<weighted_split>(
        scenario, [](std::uint64_t seed) { return weighted_split(seed); });
    const auto moved = [&](std::size_t from, std::size_t to) {
      double sum = 0;
      for (std::size_t key = 0; key < scenario.keys; ++key)
        sum += std::abs(phases[to].first_share_by_key[key] -
                        phases[from].first_share_by_key[key]);
      return sum / static_cast<double>(scenario.keys);
    };
    CAPTURE(entries);
    CHECK(moved(0, 1) <= 0.03);
    CHECK(moved(1, 2) <= 0.2 + 0.03);
  }
}
