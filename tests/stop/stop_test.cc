#include <signal.h>

#include <fmt/format.h>
#include <catch2/catch.hpp>

#include "stop/stop_run.h"
#include "support/environment_number.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

void CheckStop(stop_plan plan) {
  plan.callers.seed = EnvironmentNumber("SAMPHIRE_STOP_SEED", 1);
  const auto outcome = RunStop(plan);
  for (const auto& each : outcome.Faults(plan))
    UNSCOPED_INFO(each);
  INFO("seed " << plan.callers.seed << ", log " << outcome.log_path << ", "
               << outcome.calls.size() << " calls, ended after "
               << outcome.ended_after.count() << " ms");
  CHECK(outcome.Faults(plan).empty());
  CHECK(outcome.exit_code == 0);
  CHECK(outcome.ended_after < plan.grace);
  CHECK(outcome.calls.size() > 20);
}

}  // namespace

// Guards against requests that are taken shortly before the stop breaks off
// what runs, and against connections that are closed without a word.
TEST_CASE("a planned stop keeps what was taken and refuses the rest") {
  SECTION("short answers") {
    CheckStop({.pace = {.max_time = 300ms}, .callers = {.callers = 40}});
  }
  SECTION("slow answers in pieces") {
    CheckStop({.pace = {.max_time = 1400ms, .pieces = 6},
               .callers = {.callers = 60}});
  }
  SECTION("answers that may outlast the process") {
    CheckStop({.route_timeout = 8000ms,
               .pace = {.max_time = 3500ms, .pieces = 6},
               .callers = {.callers = 60}});
  }
  SECTION("look-ups that last longer than the process") {
    CheckStop({.lookup_ttl = 10s,
               .pace = {.max_time = 1000ms},
               .callers = {.callers = 40}});
  }
  SECTION("little time") {
    CheckStop({.grace = 900ms,
               .pace = {.max_time = 400ms},
               .callers = {.callers = 40}});
  }
}

// Guards against margins that are shorter than the time for which a busy
// processor keeps threads waiting.
TEST_CASE("a planned stop ends in time on starved processors") {
  CheckStop({.pace = {.max_time = 1400ms, .pieces = 6},
             .callers = {.callers = 60},
             .busy_threads = 24});
}

// Guards against a second signal that restarts or cuts short the stop.
TEST_CASE("signals during a planned stop change nothing") {
  CheckStop({.pace = {.max_time = 600ms},
             .callers = {.callers = 30},
             .more_signals = {{100ms, SIGHUP},
                              {300ms, SIGTERM},
                              {1200ms, SIGINT},
                              {1500ms, SIGHUP}}});
}
