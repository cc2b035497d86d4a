#include "routing/known_rate_limit.h"

#include <catch2/catch.hpp>

using namespace samphire;
using namespace std::chrono_literals;

namespace {

const time_point kStart{std::chrono::hours(1)};

}  // namespace

TEST_CASE("a limit lasts until a response to a later request lacks it") {
  known_rate_limit limit;
  CHECK_FALSE(limit.OnResponse(std::nullopt, kStart, kStart));
  CHECK(limit.OnResponse(2, kStart, kStart + 10ms));
  CHECK_FALSE(limit.OnResponse(2, kStart, kStart + 20ms));
  CHECK(limit.OnResponse(3, kStart, kStart + 30ms));
  CHECK(limit.rate() == 3.0);
  CHECK(limit.OnResponse(std::nullopt, kStart + 40ms, kStart + 50ms));
  CHECK_FALSE(limit.rate());
}

// Guards against a limit that ends because an earlier response, which the
// target sent before it was in need, was overtaken by a later one.
TEST_CASE("a response to an earlier request does not end a limit") {
  known_rate_limit limit;
  limit.OnResponse(2, kStart + 10ms, kStart + 20ms);
  CHECK_FALSE(limit.OnResponse(std::nullopt, kStart, kStart + 30ms));
  CHECK(limit.rate() == 2.0);
}

TEST_CASE("a peer's report counts only if it is the latest news") {
  known_rate_limit limit;
  limit.OnReport(5, kStart);
  CHECK(limit.rate() == 5.0);
  limit.OnResponse(2, kStart + 10ms, kStart + 20ms);
  limit.OnReport(std::nullopt, kStart + 15ms);
  CHECK(limit.rate() == 2.0);
  limit.OnReport(std::nullopt, kStart + 25ms);
  CHECK_FALSE(limit.rate());
}
