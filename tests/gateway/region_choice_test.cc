#include "gateway/region_choice.h"

#include <Poco/Net/HTTPResponse.h>

#include <catch2/catch.hpp>

#include "front/response_writer.h"
#include "gateway/header_copy.h"
#include "gateway/status_reader.h"

using namespace samphire;

TEST_CASE("the nearest reachable region comes first") {
  CHECK(ChooseRegions({{.name = "home", .own = true}, {.name = "next"}}) ==
        std::vector<std::string>{"home"});
  CHECK(ChooseRegions({{.name = "dark"},
                       {.name = "next", .reachable = true},
                       {.name = "far", .reachable = true}}) ==
        std::vector<std::string>{"next"});
  CHECK(ChooseRegions({{.name = "dark"}}).empty());
}

TEST_CASE("a second region is tried only if it has free slots, a third never") {
  // Guards against load multiplication: in a heavy rain every region is full,
  // and requests that tried one after the other would load all of them.
  CHECK(ChooseRegions(
            {{.name = "home", .own = true},
             {.name = "full", .reachable = true},
             {.name = "free", .reachable = true, .has_free_slots = true},
             {.name = "more", .reachable = true, .has_free_slots = true}}) ==
        std::vector<std::string>{"home", "free"});
}

TEST_CASE("only requests that certainly did not run are shifted") {
  // Guards against running a request twice: a claim whose entry was lost may
  // still be running there, and could be paid twice if it were shifted.
  CHECK(MayShift({.code = result_code::kQueueFull}));
  CHECK_FALSE(
      MayShift({.code = result_code::kQueueFull, .run = run_state::kUnknown}));
  CHECK_FALSE(
      MayShift({.code = result_code::kPeerLost, .run = run_state::kUnknown}));
  CHECK_FALSE(MayShift({.code = result_code::kQuarantined}));
  CHECK_FALSE(MayShift({.code = result_code::kKeyReused}));
}

TEST_CASE("an entry reads the note that another entry wrote") {
  Poco::Net::HTTPResponse head;
  const response_status status{.code = result_code::kQueueFull,
                               .run = run_state::kNotRun,
                               .config_version = 41,
                               .retry_after = milliseconds(250)};
  SetStatusHeaders(head, status);
  const auto read = ReadStatusHeaders(head);
  REQUIRE(read);
  CHECK(read->code == status.code);
  CHECK(read->run == status.run);
  CHECK(read->config_version == status.config_version);
  CHECK(read->retry_after == status.retry_after);
  CHECK_FALSE(IsTargetResponse(*read));
  CHECK_FALSE(ReadStatusHeaders(Poco::Net::HTTPResponse()));
  head.set("Samphirewinch-Run", "perhaps");
  CHECK_FALSE(ReadStatusHeaders(head));
}

TEST_CASE("a target's hop-by-hop and entry headers are not copied") {
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
