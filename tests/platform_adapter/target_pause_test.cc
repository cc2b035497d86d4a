#include <catch2/catch.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "platform_adapter/fleet_fixture.h"

using namespace samphire;
using namespace samphire::platform;

// Guards against repeats that pile up at a target which turns requests away:
// each request would try it first and then go elsewhere.
TEST_CASE(
    "a target that sheds and asks for a pause gets nothing until its end") {
  test_setup r;
  r.StartReady();
  auto& busy = r.TargetWithStamp(r.Request().stamp);
  busy.behavior = target_behavior::kShed;
  busy.pause_s = 2;
  CHECK(r.Request().status == 200);
  const int before = busy.arrivals;
  for (int i = 0; i < 20; ++i)
    CHECK(r.Request().status == 200);
  CHECK(busy.arrivals == before);
  busy.behavior = target_behavior::kServe;
  CHECK(Eventually([&] {
    r.Request();
    return busy.arrivals > before;
  }));
}

// Guards against requests that wait for a target although none will take them,
// and callers that return before one does.
TEST_CASE("a request is refused while all targets have asked for a pause") {
  test_setup r;
  r.StartReady();
  for (auto* target : {&r.read_1, &r.read_2}) {
    target->behavior = target_behavior::kShed;
    target->pause_s = 30;
  }
  r.Request();
  const int before = r.read_1.arrivals + r.read_2.arrivals;
  const auto refused = r.Request();
  CHECK(refused.status == 503);
  CHECK(std::stod(refused.retry_after) > 25);
  CHECK(r.read_1.arrivals + r.read_2.arrivals == before);
}

// Guards against an owner of keys that knows nothing of the pauses which other
// entries were asked for, and sends their requests there all the same.
TEST_CASE("an entry keeps to its pause when a key's owner places for it") {
  // One more than the entries of a region that place for themselves.
  constexpr std::size_t kEntries = 8;
  fleet_setup fleet(kEntries);
  auto& busy = fleet.targets.TargetWithStamp(fleet.Request(0).stamp);
  busy.behavior = target_behavior::kShed;
  busy.pause_s = 30;
  for (std::size_t entry = 0; entry < kEntries; ++entry)
    CHECK(fleet.Request(entry).status == 200);
  const int before = busy.arrivals;
  for (std::size_t i = 0; i < 5 * kEntries; ++i)
    CHECK(fleet.Request(i % kEntries).status == 200);
  CHECK(busy.arrivals == before);
}

// Guards against an entry that goes on sending requests to a target which has
// asked it for a pause when it passed on a request of another entry.
TEST_CASE("an entry heeds a pause that it is asked for on behalf of a peer") {
  fleet_setup fleet;
  fleet.links[0]->CutAll(link_cut::kReset);
  for (int i = 0; i < 10; ++i)
    fleet.Request(0);
  auto& busy = fleet.targets.TargetWithStamp(fleet.Request(0).stamp);
  busy.pause_s = 30;
  busy.behavior = target_behavior::kShed;
  CHECK(fleet.Request(0).status == 200);
  std::vector<std::size_t> relays;
  for (std::size_t entry = 1; entry < fleet.entries.size(); ++entry) {
    const auto metrics = SendCall(fleet.settings[entry].traffic.metrics_address,
                                  {.path = "/metrics"})
                             .body;
    if (metrics.find(R"(passed_on_total{result="target-refused"})") !=
        std::string::npos)
      relays.push_back(entry);
  }
  REQUIRE(relays.size() == 1);
  const int before = busy.arrivals;
  for (int i = 0; i < 10; ++i)
    CHECK(fleet.Request(relays.front()).status == 200);
  CHECK(busy.arrivals == before);
}
