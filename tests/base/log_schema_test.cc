#include <catch2/catch.hpp>

#include "support/log_schema.h"

using namespace samphire;

TEST_CASE("log lines are validated against the table in the manual") {
  const log_schema schema(SAMPHIRE_SOURCE_DIR "/docs/LOGS.md");
  CHECK(schema.event_count() > 20);
  const std::string head =
      R"({"time":"t","level":"info","instance":"i","event":)";
  CHECK(schema.FindViolation(head + R"("stopped"})").empty());
  CHECK(
      schema.FindViolation(head + R"("drained","requests_cut":0,"seconds":2})")
          .empty());
  CHECK(schema.FindViolation(head + R"("drained","requests_cut":0})") ==
        "drained has no seconds");
  CHECK(schema.FindViolation(
            head + R"("drained","requests_cut":"0","seconds":2.5})") ==
        "drained.requests_cut is text");
  CHECK(schema.FindViolation(head + R"("stopped","why":1})") ==
        "stopped has an unlisted field why");
  CHECK(schema.FindViolation(head + R"("gone"})") == "unlisted event gone");
  CHECK(schema.FindViolation(R"({"event":"stopped"})") == "no instance");
  CHECK(schema.FindViolation("half a li").starts_with("not a JSON object"));
}
