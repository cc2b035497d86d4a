#include "gateway/region_choice.h"

#include <Poco/Net/HTTPResponse.h>

#include <catch2/catch.hpp>

#include "front/response_writer.h"
#include "gateway/header_copy.h"
#include "gateway/note_reader.h"

using namespace samphire;

TEST_CASE("the nearest region that can be reached comes first") {
  CHECK(ChooseRegions({{.name = "home", .own = true}, {.name = "next"}}) ==
        std::vector<std::string>{"home"});
  CHECK(ChooseRegions({{.name = "dark"},
                       {.name = "next", .reachable = true},
                       {.name = "far", .reachable = true}}) ==
        std::vector<std::string>{"next"});
  CHECK(ChooseRegions({{.name = "dark"}}).empty());
}

TEST_CASE("a second region is tried only where there is room, a third never") {
  // In a downpour every region is full. Requests that try one after the other
  // would multiply the load on all of them.
  CHECK(
      ChooseRegions({{.name = "home", .own = true},
                     {.name = "full", .reachable = true},
                     {.name = "free", .reachable = true, .has_room = true},
                     {.name = "more", .reachable = true, .has_room = true}}) ==
      std::vector<std::string>{"home", "free"});
}

TEST_CASE("only what surely did not run is shifted") {
  // A claim whose entry was lost may be running there. Sent to another region
  // it could be paid twice.
  CHECK(MayShift({.code = result_code::kQueueFull}));
  CHECK_FALSE(
      MayShift({.code = result_code::kQueueFull, .run = run_state::kUnknown}));
  CHECK_FALSE(
      MayShift({.code = result_code::kPeerLost, .run = run_state::kUnknown}));
  CHECK_FALSE(MayShift({.code = result_code::kQuarantined}));
  CHECK_FALSE(MayShift({.code = result_code::kKeyReused}));
}

TEST_CASE("what one entry says of a request another entry reads") {
  Poco::Net::HTTPResponse head;
  const response_status note{.code = result_code::kQueueFull,
                             .run = run_state::kNotRun,
                             .config_version = 41,
                             .retry_after = milliseconds(250)};
  SetStatusHeaders(head, note);
  const auto read = ReadNote(head);
  REQUIRE(read);
  CHECK(read->code == note.code);
  CHECK(read->run == note.run);
  CHECK(read->config_version == note.config_version);
  CHECK(read->retry_after == note.retry_after);
  CHECK_FALSE(IsAnswer(*read));
  CHECK_FALSE(ReadNote(Poco::Net::HTTPResponse()));
  head.set("Samphirewinch-Run", "perhaps");
  CHECK_FALSE(ReadNote(head));
}

TEST_CASE("a target can't speak in the entry's name, nor for the connection") {
  Poco::Net::HTTPResponse from;
  from.set("Samphirewinch-Run", "not-run");
  from.set("Connection", "X-Private, close");
  from.set("X-Private", "1");
  from.set("Transfer-Encoding", "chunked");
  from.set("Age", "7");
  from.add("Set-Cookie", "a=1");
  from.add("Set-Cookie", "b=2");
  Poco::Net::HTTPResponse to;
  CopyEndToEndHeaders(from, to);
  CHECK_FALSE(to.has("Samphirewinch-Run"));
  CHECK_FALSE(to.has("X-Private"));
  CHECK_FALSE(to.has("Transfer-Encoding"));
  CHECK(to.get("Age") == "7");
  CHECK(std::distance(to.find("Set-Cookie"), to.end()) == 2);
}
