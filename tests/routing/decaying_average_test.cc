#include "routing/decaying_average.h"

#include <catch2/catch.hpp>
#include <cmath>

using namespace samphire;
using namespace std::chrono_literals;

TEST_CASE("a decaying average follows a step with its time constant") {
  const time_point start{1h};
  decaying_average average(1000ms);
  average.Set(4, start);
  CHECK(average.At(start) == Approx(0));
  CHECK(average.At(start + 1s) == Approx(4 * (1 - std::exp(-1.0))));
  average.Set(0, start + 1s);
  CHECK(average.At(start + 1s) == Approx(4 * (1 - std::exp(-1.0))));
  CHECK(average.At(start + 20s) == Approx(0).margin(1e-6));
}
