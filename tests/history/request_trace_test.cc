#include "history/request_trace.h"

#include <catch2/catch.hpp>

using namespace samphire;

namespace {

std::vector<std::string> Events(const request_trace& trace) {
  std::vector<std::string> events;
  for (const auto& line : trace.Lines())
    events.push_back(line.instance + " " + line.event);
  return events;
}

}  // namespace

// A user reports a problem with one request that two entries handled. From
// their logs, truncated at the end, an engineer must see the lines of the
// request in order, with the state of each entry when the request reached it.
TEST_CASE(
    "the trace of a request is in order and includes the entries' state") {
  request_trace trace("r1");
  trace.Read(R"({"time":"10:00","instance":"b","event":"store-lost"})");
  trace.Read(
      R"({"time":"10:04","instance":"b","event":"request","request":"r1"})");
  trace.Read(R"({"time":"10:05","instance":"b","event":"store-regained"})");
  trace.Read(
      R"(  1.5 a {"time":"10:01","instance":"a","event":"config-in-force"})");
  trace.Read(
      R"({"time":"10:02","instance":"a","event":"attempt","request":"r2"})");
  trace.Read(
      R"({"time":"10:03","instance":"a","event":"no-place","request":"r1"})");
  trace.Read(R"({"time":"10:03","instance":"a","event":"request","requ)");
  trace.Read("");
  CHECK(Events(trace) == std::vector<std::string>{"b store-lost",
                                                  "a config-in-force",
                                                  "a no-place", "b request"});
  CHECK(trace.unreadable() == 1);
}

TEST_CASE("a request that occurs in no line has an empty trace") {
  request_trace trace("r1");
  trace.Read(R"({"time":"10:00","instance":"b","event":"started"})");
  CHECK(trace.Lines().empty());
}
