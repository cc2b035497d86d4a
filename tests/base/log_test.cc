#include "base/log.h"

#include <catch2/catch.hpp>

using namespace samphire;

TEST_CASE("a hostile string stays one JSON string") {
  CHECK(JsonQuote("a\"b\\c\nd") == R"("a\"b\\c\u000ad")");
}

// A broken entry in the platform's store, or a caller's header, holds bytes
// that are no text. Passed through, they would make the line unreadable for
// exactly those who look for the cause.
TEST_CASE("bytes that are no text leave a line readable") {
  CHECK(JsonQuote("n\xc3\xadvel") == "\"n\xc3\xadvel\"");
  CHECK(JsonQuote("\xe2\x82\xac") == "\"\xe2\x82\xac\"");
  CHECK(JsonQuote("a\xff\xfe"
                  "b") == R"("a\ufffd\ufffdb")");
  CHECK(JsonQuote("cut \xe2\x82") == R"("cut \ufffd\ufffd")");
}

TEST_CASE("lines below the lowest level are not written") {
  ConfigureLog("test", log_level::kWarning);
  CHECK_FALSE(LogEnabled(log_level::kInfo));
  CHECK(LogEnabled(log_level::kError));
}
