#ifndef ROUTING_SPLIT_RUN_H_
#define ROUTING_SPLIT_RUN_H_

#include <functional>
#include <random>
#include <string>
#include <vector>

#include "routing/split_scenario.h"
#include "routing/target_rank.h"

namespace samphire {

// The key of each request of a scenario, drawn by its demand.
class split_demand {
 public:
  explicit split_demand(const split_scenario& scenario)
      : random_(scenario.seed), keys_(Distribution(scenario)) {
    ChangeKeys();
  }

  // Replaces all keys by others.
  void ChangeKeys() {
    hashes_.clear();
    const auto prefix = std::to_string(random_());
    for (std::size_t i = 0; i < keys_.probabilities().size(); ++i)
      hashes_.push_back(KeyHash(prefix, std::to_string(i)));
  }

  std::size_t NextKey() { return keys_(random_); }
  std::uint64_t HashOf(std::size_t key) const { return hashes_[key]; }
  std::size_t NextEntry(std::size_t entries) { return random_() % entries; }
  std::uint64_t NextSeed() { return random_(); }

 private:
  static std::discrete_distribution<std::size_t> Distribution(
      const split_scenario& scenario) {
    constexpr double kDominantShare = 0.6;
    std::vector<double> weights;
    for (std::size_t i = 0; i < scenario.keys; ++i) {
      switch (scenario.demand) {
        case key_demand::kEqual:
          weights.push_back(1);
          break;
        case key_demand::kHarmonic:
          weights.push_back(1.0 / static_cast<double>(i + 1));
          break;
        case key_demand::kOneDominant:
          weights.push_back(i == 0
                                ? kDominantShare
                                : (1 - kDominantShare) /
                                      static_cast<double>(scenario.keys - 1));
          break;
      }
    }
    return {weights.begin(), weights.end()};
  }

  std::mt19937_64 random_;
  std::discrete_distribution<std::size_t> keys_;
  std::vector<std::uint64_t> hashes_;
};

// Plays the scenario with one `Split` for each entry, made by `make` from a
// seed. Returns its phases.
template <typename Split>
std::vector<split_phase> RunSplits(
    const split_scenario& scenario,
    const std::function<Split(std::uint64_t)>& make) {
  split_demand demand(scenario);
  std::vector<Split> splits;
  for (std::size_t i = 0; i < scenario.entries; ++i)
    splits.push_back(make(demand.NextSeed()));
  time_point now{std::chrono::hours{1}};
  const auto gap = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(1 / scenario.request_rate));
  std::vector<split_phase> phases;
  for (const auto& parts : scenario.phases) {
    if (scenario.changes_keys)
      demand.ChangeKeys();
    split_phase phase;
    std::vector<std::size_t> window(parts.size());
    std::vector<std::size_t> first(scenario.keys);
    std::vector<std::size_t> sent(scenario.keys);
    for (std::size_t i = 1; i <= scenario.requests_per_phase; ++i) {
      now += gap;
      const auto key = demand.NextKey();
      auto& split = splits[demand.NextEntry(scenario.entries)];
      const auto part = split.Choose(parts, demand.HashOf(key), now);
      ++window[part];
      ++sent[key];
      first[key] += part == 0 ? 1 : 0;
      if (i % kSplitWindowRequests != 0)
        continue;
      std::vector<double> shares;
      for (auto& count : window) {
        shares.push_back(static_cast<double>(count) / kSplitWindowRequests);
        count = 0;
      }
      phase.windows.push_back(std::move(shares));
    }
    for (std::size_t key = 0; key < scenario.keys; ++key) {
      phase.demand_by_key.push_back(
          static_cast<double>(sent[key]) /
          static_cast<double>(scenario.requests_per_phase));
      phase.first_share_by_key.push_back(
          sent[key] == 0 ? 0
                         : static_cast<double>(first[key]) /
                               static_cast<double>(sent[key]));
    }
    phases.push_back(std::move(phase));
  }
  return phases;
}

}  // namespace samphire

#endif  // ROUTING_SPLIT_RUN_H_
