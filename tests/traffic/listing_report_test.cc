#include "traffic/following/listing_report.h"

#include <catch2/catch.hpp>
#include <chrono>

using namespace samphire;
using namespace std::chrono_literals;

namespace {

const time_point kNow{1h};

listed_entry Listed(const std::string& name, member_state state) {
  return {.name = name,
          .incarnation = 1,
          .caller_address = name,
          .state = state,
          .reason = listing_reason::kReady,
          .heard_at = kNow - 2s};
}

}  // namespace

// Guards against look-ups whose answers nobody can account for afterwards.
TEST_CASE("metrics tell whom look-ups name and in which state") {
  metrics registry;
  const std::vector before{Listed("a", member_state::kAlive),
                           Listed("b", member_state::kAlive),
                           Listed("c", member_state::kAlive)};
  const std::vector after{Listed("a", member_state::kAlive),
                          Listed("b", member_state::kSuspect)};
  member dead;
  dead.name = "c";
  dead.state = member_state::kDead;
  dead.heard_at = kNow - 5s;
  LogListingChanges(before, after, {dead}, kNow, registry);
  CHECK(registry.counter("lookup_entries_named_total",
                         R"(state="suspect",reason="ready")") == 1);
  CHECK(registry.counter("lookup_entries_named_total",
                         R"(state="alive",reason="ready")") == 0);
  CHECK(registry.counter("lookup_entries_omitted_total", R"(state="dead")") ==
        1);
  SetListingMetrics(after, kNow, registry);
  const auto text = registry.Render();
  CHECK(text.find(R"(lookup_entries{state="suspect",reason="ready"} 1)") !=
        std::string::npos);
  CHECK(text.find("lookup_longest_unheard_seconds 2") != std::string::npos);
}
