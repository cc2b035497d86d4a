#include "base/log.h"

#include <catch2/catch.hpp>

using namespace samphire;

TEST_CASE("special characters are escaped in JSON strings") {
  CHECK(JsonQuote("a\"b\\c\nd") == R"("a\"b\\c\u000ad")");
}

// A corrupt object in the platform's store or a request header may contain
// bytes that are not UTF-8. Written unchanged, they would make the log line
// unreadable for JSON parsers, just when it is needed for diagnosis.
TEST_CASE("invalid UTF-8 is replaced in log lines") {
  CHECK(JsonQuote("n\xc3\xadvel") == "\"n\xc3\xadvel\"");
  CHECK(JsonQuote("\xe2\x82\xac") == "\"\xe2\x82\xac\"");
  CHECK(JsonQuote("a\xff\xfe"
                  "b") == R"("a\ufffd\ufffdb")");
  CHECK(JsonQuote("cut \xe2\x82") == R"("cut \ufffd\ufffd")");
}

TEST_CASE("lines below the configured level are disabled") {
  ConfigureLog("test", log_level::kWarning);
  CHECK_FALSE(LogEnabled(log_level::kInfo));
  CHECK(LogEnabled(log_level::kError));
}
