#include "decision/service_time.h"

#include <algorithm>
#include <chrono>

namespace samphire {

namespace {

// The mean follows the last fifty samples or so: long enough to ride over one
// long request, short enough to follow a cold cache within a second of load.
constexpr double kMeanWeight = 0.02;
// The tail falls by half in about 3,500 samples. With one in 350, a class of
// which one request in twenty takes four times as long forgot its longest work
// between two of them, and one admitted request in fifty came late under
// three times the load.
constexpr double kTailDecay = 0.9998;

duration Blend(duration from, duration to, double weight) {
  return from + std::chrono::duration_cast<duration>((to - from) * weight);
}

}  // namespace

void service_time::Add(duration sample) {
  ++samples_;
  // The first samples are a plain average: the prior is only a guess.
  const double weight =
      std::max(kMeanWeight, 1.0 / static_cast<double>(samples_));
  mean_ = Blend(mean_, sample, weight);
  tail_ = samples_ == 1 ? sample : Blend(mean_, tail_, kTailDecay);
  tail_ = std::max(tail_, sample);
}

}  // namespace samphire
