#include "routing/weighted_split.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace samphire {

namespace {

// The share that a part gets in addition for each request that it lacks. Larger
// values keep a single entry nearer to the weights and move more keys.
constexpr double kCorrection = 0.05;
// The fractions of its multiples are spread evenly over any number of requests.
constexpr double kGoldenRatio = 0.6180339887498949;

}  // namespace

weighted_split::weighted_split(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  offset_ = std::uniform_real_distribution<double>()(random);
}

// The hash alone can't divide a handful of popular keys in a proportion of,
// say, 90 to 10, and an entry that gets one in some hundred requests can't
// correct it in time. The parts therefore divide the line of keys, on which a
// key takes as much space as it has requests: a popular key is divided as far
// as it has to, and most keys are not. The line doesn't depend on the weights;
// what was sent by earlier weights says nothing about the present ones and is
// forgotten with them.
std::size_t weighted_split::Choose(const std::vector<route_part>& parts,
                                   std::uint64_t key_hash,
                                   time_point now) {
  if (parts.size() < 2)
    return 0;
  if (IsChangedBy(parts))
    StartCounting(parts);
  offset_ = std::fmod(offset_ + kGoldenRatio, 1.0);
  const double place = sample_.Add(key_hash, offset_, now);
  const auto shares = CorrectedShares();
  double end = 0;
  std::size_t chosen = 0;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    if (shares[i] <= 0)
      continue;
    chosen = i;
    end += shares[i];
    if (place < end)
      break;
  }
  ++counts_[chosen].requests;
  for (std::size_t i = 0; i < lacks_.size(); ++i)
    lacks_[i] += parts[i].weight / total_weight_ - (i == chosen ? 1 : 0);
  return chosen;
}

bool weighted_split::IsChangedBy(const std::vector<route_part>& parts) const {
  return !std::ranges::equal(
      parts, counts_, [](const route_part& part, const part_count& counted) {
        return part.service == counted.part.service &&
               part.weight == counted.part.weight;
      });
}

void weighted_split::StartCounting(const std::vector<route_part>& parts) {
  counts_.clear();
  total_weight_ = 0;
  for (const auto& part : parts) {
    counts_.push_back({part, 0});
    total_weight_ += part.weight;
  }
  lacks_.assign(parts.size(), 0);
}

std::vector<double> weighted_split::CorrectedShares() const {
  std::vector<double> shares;
  for (std::size_t i = 0; i < counts_.size(); ++i) {
    const double share = counts_[i].part.weight / total_weight_;
    shares.push_back(std::max(0.0, share + kCorrection * lacks_[i]));
  }
  const double total = std::accumulate(shares.begin(), shares.end(), 0.0);
  for (auto& share : shares)
    share /= total;
  return shares;
}

}  // namespace samphire
