#include "distribution/publish_options.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <thread>

namespace samphire {

namespace {

constexpr int kFirstPauseMs = 20;
// Eight attempts wait about two seconds in all: an operator waits for it, and
// a longer outage is better told than waited out.
constexpr int kLongestPauseMs = 500;

}  // namespace

publish_options DefaultPublishOptions() {
  publish_options options;
  options.pause = [](int n) {
    const int bound =
        std::min(kFirstPauseMs << std::min(n, 10), kLongestPauseMs);
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
