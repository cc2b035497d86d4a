#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "support/manual_clock.h"
#include "traffic/direct_transport.h"
#include "traffic/placing_client.h"
#include "traffic/placing_server.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr const char* kOwner = "owner:1";

live_target Target(const std::string& id) {
  live_target target;
  target.id = id;
  target.service = "s";
  target.failure_domain = "a-1";
  target.region = "a";
  target.slots = 2;
  return target;
}

placing_ask Wish() {
  placing_ask ask;
  ask.service = "s";
  ask.route = "r";
  ask.failure_domain = "a-1";
  ask.key_hash = 17;
  ask.objective_ms = 400;
  ask.time_left_ms = 1000;
  return ask;
}

// An entry that asks, and one that owns the key and knows one target.
struct rig {
  manual_clock clock;
  metrics counters;
  direct_transport asking{"asker:1"};
  direct_transport owning{kOwner};
  traffic_settings settings;
  traffic_headers headers;
  traffic_state state;
  service_shards shards;
  connection_pool pool;
  placing_client owners_own{owning, clock, counters, 1};
  team_limiter limiter{owning, settings, state, clock, counters, 1};
  traffic_context context{settings, headers, state, shards,  owners_own,
                          limiter,  pool,    clock, counters};
  placing_server server{owning, context};
  placing_client client{asking, clock, counters, 100};

  rig() {
    asking.ConnectTo(owning);
    owning.ConnectTo(asking);
    settings.place = {"owner", "a-1", "a"};
    traffic_service service;
    service.name = "s";
    state.SetManifest(manifest_ptr(new traffic_manifest(1, {}, {}, {service})));
    state.SetTargets({Target("t")});
    state.SetEvacuatedDomains({});
  }
  std::optional<placing_answer> Ask() { return client.Ask(kOwner, Wish()); }
  placing_answer MustAnswer() {
    auto answer = Ask();
    REQUIRE(answer);
    return *answer;
  }
  // How many are placed before the owner refuses.
  int PlaceAll() {
    int placed = 0;
    while (placed < 100 && MustAnswer().verdict == placing_verdict::kPlaced)
      ++placed;
    return placed;
  }
};

}  // namespace

// Two entries of a region send to one target and neither sees the other's
// requests there. The owner of the key counts all of them and refuses what
// would wait too long.
TEST_CASE("an owner counts the work of all that ask it") {
  rig r;
  CHECK(r.MustAnswer().load_before == 0);
  CHECK(r.MustAnswer().load_before == 1);
  const int placed = 2 + r.PlaceAll();
  CHECK(placed >= 2);
  CHECK(placed < 20);
  const auto refused = r.MustAnswer();
  CHECK(refused.verdict == placing_verdict::kRefused);
  CHECK(refused.retry_after_ms > 0);
}

TEST_CASE("an end that is told makes room") {
  rig r;
  const auto first = r.MustAnswer();
  r.PlaceAll();
  r.client.End(kOwner, "s", first.id,
               {.result = attempt_result::kAnswered, .took = 100ms});
  CHECK(r.MustAnswer().verdict == placing_verdict::kPlaced);
}

// The asker is killed before it can tell of the end of its attempts. The owner
// would refuse every caller of these keys for good.
TEST_CASE("work whose end is never told is forgotten with its time") {
  rig r;
  const int placed = r.PlaceAll();
  r.clock.Advance(2500ms);
  CHECK(r.PlaceAll() == placed);
}

// An owner stands still. Each request that waits for it would lose time, and
// all the region's callers of its keys would be late.
TEST_CASE("an owner that does not answer is left alone for a second") {
  rig r;
  r.asking.holds = true;
  CHECK_FALSE(r.Ask());
  CHECK_FALSE(r.Ask());
  CHECK(r.asking.sent.size() == 1);
  r.clock.Advance(1s);
  CHECK_FALSE(r.Ask());
  CHECK(r.asking.sent.size() == 2);
}

// The owner was slow, and the asker went on without it. The place that the
// owner then grants stays unused, and is to count as work no longer.
TEST_CASE("what a late answer grants is given back") {
  rig r;
  r.asking.holds = true;
  CHECK_FALSE(r.Ask());
  r.asking.holds = false;
  r.asking.DeliverHeld();
  CHECK(r.asking.sent ==
        std::vector{message_kind::kPlacingAsk, message_kind::kPlacingEnd});
  r.clock.Advance(1s);
  CHECK(r.MustAnswer().load_before == 0);
}

// A route's exports are large and stay in their failure domain. An owner in
// another domain would place them by its own.
TEST_CASE("a large message is placed by the entry that it reached") {
  rig r;
  auto ask = Wish();
  ask.body_bytes = 1 << 20;
  ask.failure_domain = "a-2";
  const auto answer = r.client.Ask(kOwner, ask);
  REQUIRE(answer);
  CHECK(answer->verdict == placing_verdict::kPlaceYourself);
}

TEST_CASE("an owner without targets leaves it to the asker") {
  rig r;
  traffic_state empty;
  traffic_context context{r.settings, r.headers,    empty,
                          r.shards,   r.owners_own, r.limiter,
                          r.pool,     r.clock,      r.counters};
  const placing_server server(r.owning, context);
  CHECK(r.MustAnswer().verdict == placing_verdict::kPlaceYourself);
}

// Bytes that are no message come from a peer of another version.
TEST_CASE("what can't be decoded is counted and dropped") {
  rig r;
  const auto sent = r.asking.Send(kOwner, message_kind::kPlacingAsk, "x");
  REQUIRE(sent);
  CHECK(r.owning.sent.empty());
  CHECK(r.counters.Render().find("placing_malformed_total 1") !=
        std::string::npos);
}
