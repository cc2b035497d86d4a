#include "history/log_story.h"

#include <catch2/catch.hpp>

using namespace samphire;

namespace {

std::vector<std::string> Events(const log_story& story) {
  std::vector<std::string> events;
  for (const auto& line : story.Lines())
    events.push_back(line.instance + " " + line.event);
  return events;
}

}  // namespace

// A user complains about one request that two entries have met. The engineer
// has their logs, cut off at the end, and must see the request's lines in
// order, with what each entry believed when it met the request.
TEST_CASE("a request's story is told in order, with what entries believed") {
  log_story story("r1");
  story.Read(R"({"time":"10:00","instance":"b","event":"store-lost"})");
  story.Read(
      R"({"time":"10:04","instance":"b","event":"request","request":"r1"})");
  story.Read(R"({"time":"10:05","instance":"b","event":"store-regained"})");
  story.Read(
      R"(  1.5 a {"time":"10:01","instance":"a","event":"config-in-force"})");
  story.Read(
      R"({"time":"10:02","instance":"a","event":"attempt","request":"r2"})");
  story.Read(
      R"({"time":"10:03","instance":"a","event":"no-place","request":"r1"})");
  story.Read(R"({"time":"10:03","instance":"a","event":"request","requ)");
  story.Read("");
  CHECK(Events(story) == std::vector<std::string>{"b store-lost",
                                                  "a config-in-force",
                                                  "a no-place", "b request"});
  CHECK(story.unreadable() == 1);
}

TEST_CASE("a request that no line names has no story") {
  log_story story("r1");
  story.Read(R"({"time":"10:00","instance":"b","event":"started"})");
  CHECK(story.Lines().empty());
}
