#include <catch2/catch.hpp>

#include "platform_adapter/entry_fixture.h"
#include "platform_adapter/fleet_fixture.h"

using namespace samphire;
using namespace samphire::platform;

// Guards against sending work to a target that is about to end, because the
// store, which would list it as draining, is down.
TEST_CASE("a target that says it leaves gets no more requests in an outage") {
  fleet_setup fleet;
  auto& leaving = fleet.targets.TargetWithStamp(fleet.Request(0).stamp);
  fleet.targets.stand_in.refuse_with = 503;
  leaving.leaving = true;
  fleet.Request(0);
  // The entry that heard it tells the others, also those of other regions.
  CHECK(Eventually([&] {
    const int before = leaving.arrivals;
    for (std::size_t entry = 0; entry < 4; ++entry)
      fleet.Request(entry);
    return leaving.arrivals == before;
  }));
  const int before = leaving.arrivals;
  for (std::size_t i = 0; i < 20; ++i)
    CHECK(fleet.Request(i % 4).status == 200);
  CHECK(leaving.arrivals == before);
}
