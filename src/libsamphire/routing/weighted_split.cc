#include "routing/weighted_split.h"

#include <numeric>

namespace samphire {

namespace {

// The share of a part may stray this far from its weight before a request is
// sent against its key. The operator's reading of a weight allows 0.1; half of
// it leaves room for the sums of several entries.
constexpr double kMaxDrift = 0.03;
// Requests that the shares are measured over: some seconds at tens a second,
// few enough to follow a change of weights.
constexpr double kMemory = 100;

double Total(const std::vector<route_part>& parts) {
  return std::accumulate(
      parts.begin(), parts.end(), 0.0,
      [](double sum, const route_part& part) { return sum + part.weight; });
}

// Where a key falls on the line of all weights.
std::size_t PartOfKey(const std::vector<route_part>& parts,
                      std::uint64_t key_hash,
                      double total) {
  constexpr double kHashes = 18446744073709551616.0;
  double left = static_cast<double>(key_hash) / kHashes * total;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    left -= parts[i].weight;
    if (left < 0)
      return i;
  }
  return 0;
}

}  // namespace

// A handful of popular keys can't be cut in the proportion of, say, 90 to 10.
// The key's own part is taken while that keeps each share near its weight;
// otherwise the part that is furthest behind.
std::size_t weighted_split::Choose(const std::vector<route_part>& parts,
                                   std::uint64_t key_hash) {
  if (parts.size() < 2)
    return 0;
  given_.resize(parts.size());
  const double total = Total(parts);
  const double sent = std::accumulate(given_.begin(), given_.end(), 1.0);
  std::size_t chosen = PartOfKey(parts, key_hash, total);
  const auto ahead = [&](std::size_t i) {
    return (given_[i] + 1) / sent - parts[i].weight / total;
  };
  if (ahead(chosen) > kMaxDrift + 1 / sent) {
    for (std::size_t i = 0; i < parts.size(); ++i) {
      if (ahead(i) < ahead(chosen))
        chosen = i;
    }
  }
  given_[chosen] += 1;
  if (sent > kMemory) {
    for (auto& count : given_)
      count *= 1 - 1 / kMemory;
  }
  return chosen;
}

}  // namespace samphire
