#include "traffic/stop_schedule.h"

#include <catch2/catch.hpp>

#include "traffic/entry_stop.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr time_point kSignal{1000s};

}  // namespace

// Guards against a stop whose steps lie after the kill, or before the signal.
TEST_CASE("the steps of a stop are in order and before the kill") {
  for (const milliseconds grace :
       {0ms, 1ms, 50ms, 300ms, 900ms, 3000ms, 6000ms, 60'000ms, 3'600'000ms}) {
    for (const milliseconds ttl :
         {0ms, 1ms, 500ms, 2000ms, 5000ms, 600'000ms}) {
      INFO("grace " << grace.count() << ", ttl " << ttl.count());
      const auto plan = PlanStop(kSignal, grace, ttl);
      CHECK(plan.requested == kSignal);
      CHECK(kSignal <= plan.serve_until);
      CHECK(plan.serve_until <= plan.keep_until);
      CHECK(plan.keep_until <= plan.cut_at);
      CHECK(plan.cut_at <= plan.end_by);
      CHECK(plan.end_by <= kSignal + grace);
      if (grace > 1ms)
        CHECK(plan.end_by < kSignal + grace);
    }
  }
}

TEST_CASE("a stop leaves the last sixth of the grace to what is taken early") {
  const auto plan = PlanStop(kSignal, 6000ms, 2000ms);
  CHECK(plan.serve_until == kSignal + 3200ms);
  CHECK(plan.keep_until == kSignal + 5000ms);
  CHECK(plan.cut_at == kSignal + 5500ms);
  CHECK(plan.end_by == kSignal + 5750ms);
}

// Guards against margins that shrink with the grace, while the threads of a
// busy processor are as late as ever.
TEST_CASE("a short grace leaves a third of it, or a quarter of a second") {
  CHECK(PlanStop(kSignal, 1000ms, 2000ms).cut_at == kSignal + 750ms);
  CHECK(PlanStop(kSignal, 300ms, 2000ms).cut_at == kSignal + 200ms);
}

// Guards against requests whose targets may answer only after the process has
// ended.
TEST_CASE("a stop keeps requests that end before it breaks off what runs") {
  entry_stop stop;
  CHECK_FALSE(stop.begun());
  CHECK_FALSE(stop.schedule());
  CHECK(stop.CanKeep(kSignal + 1h));
  const auto plan = PlanStop(kSignal, 6000ms, 2000ms);
  stop.Plan(plan);
  CHECK(stop.begun());
  CHECK(stop.CanKeep(plan.keep_until));
  CHECK_FALSE(stop.CanKeep(plan.keep_until + 1ms));
}

// Guards against a stop by the old time after the settings were reloaded.
TEST_CASE("a stop follows a shorter grace") {
  entry_stop stop;
  stop.Plan(PlanStop(kSignal, 6000ms, 2000ms));
  stop.Plan(PlanStop(kSignal, 3000ms, 2000ms));
  CHECK_FALSE(stop.CanKeep(kSignal + 3000ms));
  CHECK(stop.schedule()->end_by < kSignal + 3000ms);
}
