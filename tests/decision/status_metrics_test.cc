#include "decision/status_metrics.h"

#include <catch2/catch.hpp>

#include "support/small_service.h"

using namespace samphire;
using namespace std::chrono_literals;

// An operator reads the metrics in the middle of an overload.
TEST_CASE("status and metrics show queue, headroom, shifts and refusals") {
  dispatcher_fixture entry(2, 1);
  entry.slots.SetShiftCaps({{"lost", "home", 2, 1, 0}}, {{0}, 1});
  entry.Submit("reading", 1000ms, "lost");
  entry.Grant();
  entry.Submit("alarm", 1000ms);
  entry.slots.SetClosedTargets({"t0", "t1"}, entry.now);
  entry.Submit("alarm", 1000ms);
  const auto status = entry.slots.status(entry.now);
  REQUIRE(status.refusals.size() == 1);
  CHECK(status.refusals[0].reason == result_code::kNoTargetAvailable);
  metrics registry;
  PublishStatus(registry, "small", status);
  const auto text = registry.Render();
  for (const auto* line :
       {"samphire_in_flight{service=\"small\"} 2\n",
        "samphire_headroom{service=\"small\"} 0\n",
        "samphire_slots_unusable{service=\"small\"} 2\n",
        "samphire_queued{service=\"small\",class=\"alarm\"} 1\n",
        "samphire_shift_in_flight{service=\"small\",from=\"lost\"} 1\n",
        "samphire_shift_limit{service=\"small\",from=\"lost\"} 1\n"}) {
    CHECK(text.find(line) != std::string::npos);
  }
}
