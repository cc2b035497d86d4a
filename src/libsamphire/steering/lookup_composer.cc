#include "steering/lookup_composer.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace samphire {

namespace {

// An answer names enough entries that a caller gets through a failed instance
// and a dark region without asking again, and few enough to stay within one
// packet; beyond the home region two are enough for the way back in.
constexpr std::size_t kMaxFromHome = 4;
constexpr std::size_t kMaxFromOther = 2;
constexpr std::size_t kMaxEntries = 8;

using candidate = entry_directory::candidate;
using scored_candidate = std::pair<double, const candidate*>;

// Rendezvous hashing: each caller orders the entries by itself, so that the
// callers of a region spread over all of its entries, and those of one that
// goes away spread over all that remain, while nobody else moves. With the
// same order for everyone the first entry would carry the region.
double ScoreOf(const candidate& entry, const ip_address& caller) {
  const auto hash =
      XXH3_64bits_withSeed(caller.data(), caller.size(), entry.name_hash);
  // In (0, 1), so that the logarithm is finite and below zero.
  const double uniform =
      (static_cast<double>(hash >> 11) + 0.5) / static_cast<double>(1ULL << 53);
  return -entry.weight / std::log(uniform);
}

std::vector<scored_candidate> BestOf(const std::vector<candidate>& entries,
                                     const ip_address& caller,
                                     std::size_t count) {
  std::vector<scored_candidate> scored;
  scored.reserve(entries.size());
  for (const auto& entry : entries)
    scored.emplace_back(ScoreOf(entry, caller), &entry);
  const auto kept = std::min(count, scored.size());
  std::partial_sort(
      scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(kept),
      scored.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first
                                  : a.second->name < b.second->name;
      });
  scored.resize(kept);
  return scored;
}

void Append(const std::vector<scored_candidate>& best,
            const std::string& region,
            lookup_answer& answer) {
  for (const auto& [score, entry] : best)
    answer.entries.push_back({entry->name, entry->address, region});
}

}  // namespace

lookup_answer ComposeLookupAnswer(const lookup_snapshot& snapshot,
                                  const entry_directory& directory,
                                  const ip_address& caller) {
  lookup_answer answer;
  answer.home_region = snapshot.RegionOf(caller);
  answer.ttl = snapshot.ttl();
  answer.version = snapshot.version();
  for (const auto& region : snapshot.order().From(answer.home_region)) {
    const auto room = kMaxEntries - answer.entries.size();
    const auto wanted =
        region == answer.home_region ? kMaxFromHome : kMaxFromOther;
    Append(BestOf(directory.In(region), caller, std::min(room, wanted)), region,
           answer);
    if (answer.entries.size() == kMaxEntries)
      break;
  }
  return answer;
}

}  // namespace samphire
