#include "distribution/publish_options.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <thread>

namespace samphire {

namespace {

// Bound of the first pause; it doubles with each attempt.
constexpr int kInitialBackoffMs = 20;
// Bounds one pause. Eight attempts wait about two seconds in all, while an
// operator waits for the result; a longer outage is better reported than waited
// out.
constexpr int kMaxBackoffMs = 500;

}  // namespace

publish_options DefaultPublishOptions() {
  publish_options options;
  options.pause = [](int n) {
    const int bound =
        std::min(kInitialBackoffMs << std::min(n, 10), kMaxBackoffMs);
    std::random_device random;
    std::uniform_int_distribution<int> wait(bound / 2, bound);
    std::this_thread::sleep_for(std::chrono::milliseconds(wait(random)));
  };
  options.nonce = [] {
    std::random_device random;
    return std::uniform_int_distribution<std::uint64_t>()(random);
  };
  return options;
}

}  // namespace samphire
