#include "steering/entry_directory.h"

#include <xxhash.h>

#include <array>

namespace samphire {

namespace {

// Entries with a load below `below_load` get `weight`.
struct weight_step {
  double below_load;
  double weight;
};

// Reported loads are seconds old and fluctuate. Weights that followed them
// closely would make callers oscillate: all would move to the entry that was
// idle a moment ago, and back. So only an entry that is clearly busier than
// usual gets fewer callers, in two steps. A saturated entry still gets a few:
// the report may be wrong, and an entry without callers has no fresh load to
// report.
constexpr std::array<weight_step, 2> kWeightSteps{{{0.75, 1.0}, {0.95, 0.5}}};
constexpr double kSaturatedWeight = 0.125;

double WeightOf(double load) {
  for (const auto& step : kWeightSteps) {
    if (load < step.below_load)
      return step.weight;
  }
  return kSaturatedWeight;
}

}  // namespace

entry_directory::entry_directory(const std::vector<live_entry>& entries) {
  for (const auto& entry : entries) {
    if (entry.leaving)
      continue;
    by_region_[entry.region].push_back(
        {entry.name, entry.caller_address,
         XXH3_64bits(entry.name.data(), entry.name.size()),
         WeightOf(entry.load)});
  }
}

const std::vector<entry_directory::candidate>& entry_directory::EntriesIn(
    std::string_view region) const {
  static const std::vector<candidate> none;
  const auto found = by_region_.find(region);
  return found == by_region_.end() ? none : found->second;
}

}  // namespace samphire
