#include "traffic/traffic_state.h"

#include <catch2/catch.hpp>

using namespace samphire;

// Guards against an entry that starts while a failure domain is evacuated and
// serves callers before it knows: it would send requests there.
TEST_CASE("an entry is not ready before it knows what is evacuated") {
  traffic_state state;
  state.SetManifest(manifest_ptr(new traffic_manifest(1, {}, {}, {})));
  state.SetTargets({live_target{.id = "t", .failure_domain = "dark"}});
  CHECK_FALSE(state.IsReady());
  CHECK_FALSE(state.targets());
  state.SetEvacuatedDomains({"dark"});
  CHECK(state.IsReady());
  REQUIRE(state.targets());
  CHECK(state.targets()->open_count() == 0);
}
