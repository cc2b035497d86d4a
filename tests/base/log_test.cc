#include "base/log.h"

#include <catch2/catch.hpp>

using namespace samphire;

TEST_CASE("a hostile string stays one JSON string") {
  CHECK(JsonQuote("a\"b\\c\nd") == R"("a\"b\\c\u000ad")");
}

TEST_CASE("lines below the lowest level are not written") {
  ConfigureLog("test", log_level::kWarning);
  CHECK_FALSE(LogEnabled(log_level::kInfo));
  CHECK(LogEnabled(log_level::kError));
}
