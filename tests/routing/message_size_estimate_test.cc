#include "routing/message_size_estimate.h"

#include <catch2/catch.hpp>

using namespace samphire;

// Requests of an export are tiny and its responses large. Only the responses
// received so far indicate that.
TEST_CASE("a route with large responses is estimated as large") {
  message_size_estimate size;
  CHECK_FALSE(size.IsLarge(400));
  size.AddSample(80'000);
  CHECK(size.IsLarge(400));
  for (int i = 0; i < 100; ++i)
    size.AddSample(2'000);
  CHECK_FALSE(size.IsLarge(400));
}

TEST_CASE("an upload is large before any response") {
  const message_size_estimate size;
  CHECK(size.IsLarge(60'000));
}
