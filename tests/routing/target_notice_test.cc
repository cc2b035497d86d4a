#include "routing/target_notice.h"

#include <catch2/catch.hpp>

using namespace samphire;
using namespace std::chrono_literals;

TEST_CASE("a rate limit is a finite decimal number of at least 0") {
  CHECK(ParseRateLimit("3.25") == 3.25);
  CHECK(ParseRateLimit("0") == 0.0);
  for (const auto* text : {"", "-1", "nan", "inf", "3,5", "3.5/s", " 3"}) {
    INFO(text);
    CHECK_FALSE(ParseRateLimit(text));
  }
}

TEST_CASE("a pause is a finite decimal number of seconds, at most an hour") {
  CHECK(ParsePause("3") == 3s);
  CHECK(ParsePause("0.25") == 250ms);
  CHECK(ParsePause("1e9") == 1h);
  for (const auto* text : {"", "-1", "nan", "Fri, 04 Dec 2026 10:00:00 GMT"}) {
    INFO(text);
    CHECK_FALSE(ParsePause(text));
  }
}
