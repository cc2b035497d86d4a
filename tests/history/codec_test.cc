#include <catch2/catch.hpp>
#include <sstream>

#include "history/history_codec.h"
#include "history/history_reader.h"
#include "history_builder.h"

using namespace samphire;

TEST_CASE("every type of event is the same after encoding and decoding") {
  history_builder history;
  history.Answered("o\"ne\n", 0, 10, "s/a", "key")
      .Add(run_shed{.target = "s/a", .request_id = "x", .in_flight = 2})
      .Add(config_accepted{.version = 3})
      .Add(config_seen{.entry = "e", .version = 3})
      .Add(target_leaving{.target = "s/a", .leaving = false})
      .Add(planned_stop{.subject = "e", .over = true});
  for (const auto& event : history.events()) {
    const auto line = EncodeEvent(event);
    const auto decoded = DecodeEvent(line);
    REQUIRE(decoded);
    CHECK(decoded.value().index() == event.index());
    CHECK(EncodeEvent(decoded.value()) == line);
  }
}

// A program of another version writes events that the checker understands only
// in part. Accepting them could report an invalid history as clean.
TEST_CASE("an event with missing, unknown or mistyped fields is rejected") {
  const auto valid = R"({"event":"config-accepted","time_us":1,"version":2})";
  CHECK(DecodeEvent(valid));
  for (const auto* line :
       {R"({"event":"config-accepted","time_us":1})",
        R"({"event":"config-accepted","time_us":1,"version":"2"})",
        R"({"event":"config-accepted","time_us":1,"version":2,"more":1})",
        R"({"event":"config-dropped","time_us":1,"version":2})",
        R"({"event":"run-ended","time_us":1,"target":"t","outcome":"lost"})",
        "[]", "", "{"})
    CHECK_FALSE(DecodeEvent(line));
}

TEST_CASE("an unknown outcome name is rejected") {
  history_builder history;
  history.Run(1, "s/a", "one", 0, 10);
  auto line = EncodeEvent(history.First<run_ended>());
  line.replace(line.find("finished"), 8, "vanished");
  CHECK_FALSE(DecodeEvent(line));
}

// A process is killed while it writes its last line. The rest of its history
// must still be judged.
TEST_CASE("only a last line without a line end may be malformed") {
  const std::string line =
      R"({"event":"config-accepted","time_us":1,"version":2})";
  std::istringstream killed(line + "\n" + line.substr(0, 20));
  const auto events = ReadHistory(killed);
  REQUIRE(events);
  CHECK(events.value().size() == 1);
  std::istringstream broken(line.substr(0, 20) + "\n" + line + "\n");
  CHECK_FALSE(ReadHistory(broken));
}
