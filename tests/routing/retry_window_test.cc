#include "routing/retry_window.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace samphire;
using namespace std::chrono_literals;

// Guards against retries that overload the working targets. Half of a service's
// targets fail, and every entry wants to retry each failed request once.
// Together they must stay within the service's bound in any window.
TEST_CASE("ten entries together stay within the retry bound in every window") {
  const retry_bound bound{.ratio = 0.2, .slack = 60, .window = 10s};
  constexpr std::size_t kEntries = 10;
  std::vector<retry_window> entries(kEntries);
  std::vector<time_point> requests;
  std::vector<time_point> retries;
  time_point now{1h};
  for (int i = 0; i < 6000; ++i, now += 5ms) {
    auto& entry = entries[static_cast<std::size_t>(i) % kEntries];
    entry.OnRequest(now);
    requests.push_back(now);
    if (i % 2 == 0 && entry.TryTake(bound, {.entries = kEntries}, now))
      retries.push_back(now);
  }
  REQUIRE(retries.size() > 100);
  for (const auto& start : retries) {
    const auto within = [&](const time_point& t) {
      return t >= start && t < start + bound.window;
    };
    const auto issued = std::count_if(requests.begin(), requests.end(), within);
    const auto retried = std::count_if(retries.begin(), retries.end(), within);
    CHECK(double(retried) <= bound.ratio * double(issued) + bound.slack);
  }
}
