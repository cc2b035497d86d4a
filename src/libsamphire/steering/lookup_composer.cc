#include "steering/lookup_composer.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace samphire {

namespace {

// Upper bounds for the entries in a response, which lists enough that a caller
// gets past a failed instance and an unreachable region without another
// look-up, and few enough to fit into one packet. Of each region beyond the
// home region two are enough to get back into the system.
constexpr std::size_t kMaxFromHomeRegion = 4;
constexpr std::size_t kMaxFromOtherRegion = 2;
constexpr std::size_t kMaxEntries = 8;

using candidate = entry_directory::candidate;
using scored_candidate = std::pair<double, const candidate*>;

// Weighted rendezvous hashing: each caller address gets its own order of the
// entries. So the callers of a region spread over all of its entries, and those
// of an entry that goes away spread over all that remain, while no other caller
// moves. With the same order for every caller, the first entry would carry the
// load of the whole region.
double ScoreOf(const candidate& entry, const ip_address& caller) {
  const auto hash =
      XXH3_64bits_withSeed(caller.data(), caller.size(), entry.name_hash);
  // Lies in (0, 1), so that the logarithm is finite and negative.
  const double uniform =
      (static_cast<double>(hash >> 11) + 0.5) / static_cast<double>(1ULL << 53);
  return -entry.weight / std::log(uniform);
}

// Returns up to `count` entries by descending score; names break ties, so that
// the order does not depend on that of `entries`.
std::vector<scored_candidate> HighestScored(
    const std::vector<candidate>& entries,
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

void AppendEntries(const std::vector<scored_candidate>& best,
                   const std::string& region,
                   lookup_response& response) {
  for (const auto& [score, entry] : best)
    response.entries.push_back({entry->name, entry->address, region});
}

}  // namespace

lookup_response ComposeLookupResponse(const lookup_snapshot& snapshot,
                                      const entry_directory& directory,
                                      const ip_address& caller) {
  lookup_response response;
  response.home_region = snapshot.RegionOf(caller);
  response.ttl = snapshot.ttl();
  response.version = snapshot.version();
  for (const auto& region :
       snapshot.order().RegionsByLatencyFrom(response.home_region)) {
    const auto remaining = kMaxEntries - response.entries.size();
    const auto region_limit = region == response.home_region
                                  ? kMaxFromHomeRegion
                                  : kMaxFromOtherRegion;
    AppendEntries(HighestScored(directory.EntriesIn(region), caller,
                                std::min(remaining, region_limit)),
                  region, response);
    if (response.entries.size() == kMaxEntries)
      break;
  }
  return response;
}

}  // namespace samphire
