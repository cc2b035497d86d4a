#include "routing/weighted_split.h"

#include <numeric>

namespace samphire {

namespace {

// The share of a part may exceed its weight by this much before a request is
// sent to another part than its key's. Operators accept a deviation of 0.1 from
// a weight; less than half of it is used here, which leaves a margin for the
// sums over several entries.
constexpr double kMaxDrift = 0.03;
// The number of requests over which shares are measured. At tens of requests
// per second, these are some seconds: few enough to follow a change of weights.
constexpr double kWindowRequests = 100;

double Total(const std::vector<route_part>& parts) {
  return std::accumulate(
      parts.begin(), parts.end(), 0.0,
      [](double sum, const route_part& part) { return sum + part.weight; });
}

// Maps the key's hash to an offset in the concatenation of all weights, and
// returns the part that contains it.
std::size_t PartOfKey(const std::vector<route_part>& parts,
                      std::uint64_t key_hash,
                      double total) {
  constexpr double kHashCount = 18446744073709551616.0;
  double offset = static_cast<double>(key_hash) / kHashCount * total;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    offset -= parts[i].weight;
    if (offset < 0)
      return i;
  }
  return 0;
}

}  // namespace

// The hash alone can't divide a handful of popular keys in a proportion of,
// say, 90 to 10. The key's own part is used as long as that keeps each share
// near its weight; otherwise the part whose share is furthest below its weight.
std::size_t weighted_split::Choose(const std::vector<route_part>& parts,
                                   std::uint64_t key_hash) {
  if (parts.size() < 2)
    return 0;
  counts_.resize(parts.size());
  const double total = Total(parts);
  const double sent = std::accumulate(counts_.begin(), counts_.end(), 1.0);
  std::size_t chosen = PartOfKey(parts, key_hash, total);
  const auto excess = [&](std::size_t i) {
    return (counts_[i] + 1) / sent - parts[i].weight / total;
  };
  if (excess(chosen) > kMaxDrift + 1 / sent) {
    for (std::size_t i = 0; i < parts.size(); ++i) {
      if (excess(i) < excess(chosen))
        chosen = i;
    }
  }
  counts_[chosen] += 1;
  if (sent > kWindowRequests) {
    for (auto& count : counts_)
      count *= 1 - 1 / kWindowRequests;
  }
  return chosen;
}

}  // namespace samphire
