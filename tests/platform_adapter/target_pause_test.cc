#include <catch2/catch.hpp>

#include "platform_adapter/entry_fixture.h"

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
