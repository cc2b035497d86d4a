#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "support/manual_clock.h"
#include "traffic/direct_transport.h"
#include "traffic/placing/placement_client.h"
#include "traffic/placing/placement_server.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr const char* kOwner = "owner:1";
constexpr const char* kPeerKey = "0123456789abcdef0123456789abcdef";

live_target Target(const std::string& id) {
  live_target target;
  target.id = id;
  target.service = "s";
  target.failure_domain = "a-1";
  target.region = "a";
  target.slots = 2;
  return target;
}

remote_placement_request Request() {
  remote_placement_request request;
  request.service = "s";
  request.route = "r";
  request.failure_domain = "a-1";
  request.key_hash = 17;
  request.objective_ms = 400;
  request.time_left_ms = 1000;
  return request;
}

// An entry that requests placements, and one that owns the key and knows one
// target with two slots.
struct placement_fixture {
  manual_clock clock;
  metrics counters;
  direct_transport requester{"asker:1"};
  direct_transport owner{kOwner};
  traffic_settings settings;
  traffic_headers headers;
  traffic_state state;
  service_shards shards;
  connection_pool pool;
  placement_client owner_client{owner, clock, counters, 1};
  team_limiter limiter{owner, settings, state, clock, counters, 1};
  target_news_channel news{owner, message_kind::kTargetNews,
                           "target_news_malformed_total",
                           [] { return news_peers{}; }, counters};
  target_limiter target_limits{owner, news,     settings, state,
                               clock, counters, 1};
  target_notices notices{shards, target_limits, news, clock};
  fleet_quarantine quarantine{owner, [] { return news_peers{}; }, clock,
                              counters};
  target_links links{clock, counters};
  peer_signer signer{peer_keys::Parse(kPeerKey).value(), {}, clock};
  traffic_context context{
      settings, headers,    state, shards, owner_client, limiter, target_limits,
      notices,  quarantine, links, signer, pool,         clock,   counters};
  placement_server server{owner, context};
  placement_client client{requester, clock, counters, 100};

  placement_fixture() {
    requester.ConnectTo(owner);
    owner.ConnectTo(requester);
    settings.place = {"owner", "a-1", "a"};
    traffic_service service;
    service.name = "s";
    state.SetManifest(manifest_ptr(new traffic_manifest(1, {}, {}, {service})));
    state.SetTargets({Target("t")});
    state.SetEvacuatedDomains({});
  }
  std::optional<remote_placement_response> RequestPlacement() {
    return client.RequestPlacement(kOwner, Request());
  }
  remote_placement_response RequireResponse() {
    auto response = RequestPlacement();
    REQUIRE(response);
    return *response;
  }
  // Returns how many attempts the owner places before it refuses one.
  int PlaceAll() {
    int placed = 0;
    while (placed < 100 &&
           RequireResponse().verdict == remote_placement_verdict::kPlaced)
      ++placed;
    return placed;
  }
};

}  // namespace

// Guards against overloading a target to which several entries of a region send
// requests without seeing each other's. The key's owner must count all of them
// and refuse those that would wait too long.
TEST_CASE("an owner counts the attempts that it placed for other entries") {
  placement_fixture fixture;
  CHECK(fixture.RequireResponse().load_before == 0);
  CHECK(fixture.RequireResponse().load_before == 1);
  const int placed = 2 + fixture.PlaceAll();
  CHECK(placed >= 2);
  CHECK(placed < 20);
  const auto refused = fixture.RequireResponse();
  CHECK(refused.verdict == remote_placement_verdict::kRefused);
  CHECK(refused.retry_after_ms > 0);
}

TEST_CASE("a reported end frees capacity at the target") {
  placement_fixture fixture;
  const auto first = fixture.RequireResponse();
  fixture.PlaceAll();
  fixture.client.ReportEnd(
      kOwner, "s", first.id,
      {.result = attempt_result::kAnswered, .took = 100ms});
  CHECK(fixture.RequireResponse().verdict == remote_placement_verdict::kPlaced);
}

// Guards against an owner that refuses all callers of its keys forever because
// an entry was killed before it reported the end of its attempts.
TEST_CASE("an attempt whose end is never reported expires") {
  placement_fixture fixture;
  const int placed = fixture.PlaceAll();
  fixture.clock.Advance(2500ms);
  CHECK(fixture.PlaceAll() == placed);
}

// Guards against delaying all of a region's requests for the keys of a stalled
// owner, as each of them would wait for the timeout.
TEST_CASE("an owner that does not respond is not asked again for a second") {
  placement_fixture fixture;
  fixture.requester.hold_messages = true;
  CHECK_FALSE(fixture.RequestPlacement());
  CHECK_FALSE(fixture.RequestPlacement());
  CHECK(fixture.requester.sent.size() == 1);
  fixture.clock.Advance(1s);
  CHECK_FALSE(fixture.RequestPlacement());
  CHECK(fixture.requester.sent.size() == 2);
}

// Guards against counting an attempt that was never made: the owner responds
// after the timeout, when the requesting entry has already placed the attempt
// itself.
TEST_CASE("a placement by a late response is returned to the owner") {
  placement_fixture fixture;
  fixture.requester.hold_messages = true;
  CHECK_FALSE(fixture.RequestPlacement());
  fixture.requester.hold_messages = false;
  fixture.requester.DeliverHeld();
  CHECK(fixture.requester.sent == std::vector{message_kind::kPlacementRequest,
                                              message_kind::kPlacementEnd});
  fixture.clock.Advance(1s);
  CHECK(fixture.RequireResponse().load_before == 0);
}

// Guards against traffic between failure domains: large messages, such as
// exports, stay in the domain of the entry that received them, but an owner in
// another domain would choose targets in its own domain.
TEST_CASE("a large message is placed by the entry that received it") {
  placement_fixture fixture;
  auto request = Request();
  request.body_bytes = 1 << 20;
  request.failure_domain = "a-2";
  const auto response = fixture.client.RequestPlacement(kOwner, request);
  REQUIRE(response);
  CHECK(response->verdict == remote_placement_verdict::kPlaceLocally);
}

TEST_CASE("an owner without targets leaves placement to the requester") {
  placement_fixture fixture;
  traffic_state empty;
  traffic_context context{
      fixture.settings,      fixture.headers,      empty,
      fixture.shards,        fixture.owner_client, fixture.limiter,
      fixture.target_limits, fixture.notices,      fixture.quarantine,
      fixture.links,         fixture.signer,       fixture.pool,
      fixture.clock,         fixture.counters};
  const placement_server server(fixture.owner, context);
  CHECK(fixture.RequireResponse().verdict ==
        remote_placement_verdict::kPlaceLocally);
}

// Payloads that can't be decoded come from peers of another version.
TEST_CASE("a message that can't be decoded is counted and dropped") {
  placement_fixture fixture;
  const auto sent =
      fixture.requester.Send(kOwner, message_kind::kPlacementRequest, "x");
  REQUIRE(sent);
  CHECK(fixture.owner.sent.empty());
  CHECK(fixture.counters.Render().find("placing_malformed_total 1") !=
        std::string::npos);
}
