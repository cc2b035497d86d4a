#include "routing/message_size_estimate.h"

#include <catch2/catch.hpp>

using namespace samphire;

// Requests of an export are tiny and its answers large. Only the answers that
// came tell.
TEST_CASE("a route is known for its large answers") {
  message_size_estimate size;
  CHECK_FALSE(size.IsLarge(400));
  size.Learn(80'000);
  CHECK(size.IsLarge(400));
  for (int i = 0; i < 100; ++i)
    size.Learn(2'000);
  CHECK_FALSE(size.IsLarge(400));
}

TEST_CASE("an upload is large before any was answered") {
  const message_size_estimate size;
  CHECK(size.IsLarge(60'000));
}
