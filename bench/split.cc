// Measures how near a fleet of entries keeps the weights of a split route, and
// which part of the keys stays whole, for three ways to divide: a sample of
// recent keys (weighted_split), the hash of the key alone, and chance.
//   bench_split [--seeds=N]
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <string>

#include "base/enum_names.h"
#include "routing/split_run.h"
#include "routing/weighted_split.h"

ABSL_FLAG(int, seeds, 20, "number of seeds per scenario, counted from 1");

namespace samphire {

namespace {

using part_list = std::vector<route_part>;

// Returns the part at `place`, from 0 to below 1, of the parts' weights.
std::size_t PartAt(const part_list& parts, double place) {
  double total = 0;
  for (const auto& part : parts)
    total += part.weight;
  double end = 0;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    end += parts[i].weight / total;
    if (place < end)
      return i;
  }
  return 0;
}

// A pure function of the key and the weights.
struct hash_split {
  std::size_t Choose(const part_list& parts, std::uint64_t hash, time_point) {
    return PartAt(parts, static_cast<double>(hash >> 11U) * 0x1p-53);
  }
};

struct random_split {
  std::mt19937_64 random;
  std::size_t Choose(const part_list& parts, std::uint64_t, time_point) {
    return PartAt(parts, std::uniform_real_distribution<double>()(random));
  }
};

struct split_figures {
  double mean = 0;
  double worst = 0;
  // The shares of windows that are off by more than 0.1 and by more than 0.2.
  double over_tenth = 0;
  double over_fifth = 0;
  // The part of the requests that went to the part that got most of their key.
  double kept = 0;
};

template <typename Split>
split_figures Measure(split_scenario scenario,
                      const std::function<Split(std::uint64_t)>& make) {
  split_figures sum;
  double windows = 0;
  double keys = 0;
  for (int seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
    scenario.seed = static_cast<std::uint64_t>(seed);
    const auto phases = RunSplits<Split>(scenario, make);
    for (std::size_t i = 0; i < phases.size(); ++i) {
      for (const auto& shares : phases[i].windows) {
        const double off = DeviationOf(shares, scenario.phases[i]);
        sum.mean += MeanDeviationOf(shares, scenario.phases[i]);
        sum.worst = std::max(sum.worst, off);
        sum.over_tenth += off > 0.1 ? 1 : 0;
        sum.over_fifth += off > 0.2 ? 1 : 0;
        windows += 1;
      }
      for (std::size_t k = 0; k < scenario.keys; ++k) {
        const double first = phases[i].first_share_by_key[k];
        sum.kept += phases[i].demand_by_key[k] * std::max(first, 1 - first);
      }
      keys += 1;
    }
  }
  sum.mean /= windows;
  sum.over_tenth /= windows;
  sum.over_fifth /= windows;
  sum.kept /= keys;
  return sum;
}

void PrintRow(const char* way, const split_figures& figures) {
  fmt::print("  {:8} {:6.3f} {:6.2f} {:7.3f} {:7.3f} {:6.2f}", way,
             figures.mean, figures.worst, figures.over_tenth,
             figures.over_fifth, figures.kept);
}

constexpr enum_names<key_demand, 3> kDemandNames = {{
    {key_demand::kEqual, "equal"},
    {key_demand::kHarmonic, "harmonic"},
    {key_demand::kOneDominant, "dominant"},
}};

int Run() {
  fmt::print("way: mean and worst deviation, windows over 0.1 and 0.2, kept\n");
  const part_list nine_to_one = {{"a", 90}, {"b", 10}};
  const part_list halves = {{"a", 50}, {"b", 50}};
  for (const std::size_t entries : {1, 10, 90, 300}) {
    for (const std::size_t keys : {3, 20, 1000}) {
      for (const auto& [demand, name] : kDemandNames) {
        const split_scenario scenario{.entries = entries,
                                      .keys = keys,
                                      .demand = demand,
                                      .phases = {nine_to_one, halves}};
        fmt::print("{:3} entries {:4} keys {:8}", entries, keys, name);
        PrintRow("sample",
                 Measure<weighted_split>(scenario, [](std::uint64_t seed) {
                   return weighted_split(seed);
                 }));
        PrintRow("hash", Measure<hash_split>(scenario, [](std::uint64_t) {
                   return hash_split{};
                 }));
        PrintRow("chance",
                 Measure<random_split>(scenario, [](std::uint64_t seed) {
                   return random_split{std::mt19937_64(seed)};
                 }));
        fmt::print("\n");
      }
    }
  }
  return 0;
}

}  // namespace

}  // namespace samphire

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return samphire::Run();
}
