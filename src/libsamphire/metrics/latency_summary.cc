#include "metrics/latency_summary.h"

#include <array>

namespace samphire {

namespace {

// The quantiles that are estimated.
constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.99, 0.999};

}  // namespace

namespace tag = boost::accumulators::tag;

latency_summary::latency_summary()
    : set_(tag::extended_p_square::probabilities = kQuantiles) {}

void latency_summary::Add(duration latency) {
  set_(std::chrono::duration<double>(latency).count());
}

std::size_t latency_summary::count() const {
  return boost::accumulators::count(set_);
}

double latency_summary::sum_seconds() const {
  return count() == 0 ? 0 : boost::accumulators::sum(set_);
}

double latency_summary::max_seconds() const {
  return count() == 0 ? 0 : boost::accumulators::max(set_);
}

double latency_summary::quantile_seconds(double probability) const {
  if (count() == 0)
    return 0;
  for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
    if (kQuantiles[i] == probability)
      return boost::accumulators::extended_p_square(set_)[i];
  }
  return max_seconds();
}

}  // namespace samphire
