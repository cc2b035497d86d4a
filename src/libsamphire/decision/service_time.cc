#include "decision/service_time.h"

#include <algorithm>
#include <chrono>

namespace samphire {

namespace {

// The mean follows roughly the last fifty samples: long enough to smooth out
// one long request, short enough to follow a cold cache within a second of
// load.
constexpr double kMinMeanWeight = 0.02;
// The tail falls by half in about 3,500 samples. With a decay by half in 350
// samples, a class of which one request in twenty takes four times as long lost
// the estimate of its longest work between two such requests, and one admitted
// request in fifty missed its deadline under three times the load.
constexpr double kTailDecay = 0.9998;

duration Blend(duration from, duration to, double weight) {
  return from + std::chrono::duration_cast<duration>((to - from) * weight);
}

}  // namespace

void service_time::Add(duration sample) {
  ++samples_;
  // The first samples are averaged with equal weights: the prior is only a
  // guess.
  const double weight =
      std::max(kMinMeanWeight, 1.0 / static_cast<double>(samples_));
  mean_ = Blend(mean_, sample, weight);
  tail_ = samples_ == 1 ? sample : Blend(mean_, tail_, kTailDecay);
  tail_ = std::max(tail_, sample);
}

}  // namespace samphire
