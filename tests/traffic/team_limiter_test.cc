#include "traffic/limits/team_limiter.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "support/manual_clock.h"
#include "traffic/direct_transport.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr const char* kTeam = "team-1";

manifest_ptr Manifest(std::uint64_t version, double rate) {
  traffic_team team;
  team.name = kTeam;
  team.api_keys = {"key-1"};
  team.limit = {.rate = rate, .burst = rate};
  return manifest_ptr(new traffic_manifest(version, {}, {}, {}, {team}));
}

// One entry's limiter, which knows the entries "a" and "b" of its region.
struct limiter_node {
  manual_clock& clock;
  direct_transport transport;
  metrics counters;
  traffic_settings settings;
  traffic_state state;
  team_limiter limiter{transport, settings, state, clock, counters, 1};

  limiter_node(manual_clock& shared_clock, const std::string& name)
      : clock(shared_clock), transport(name + ":1") {
    settings.place = {name, name + "-1", "r"};
    settings.startup_time = 0ms;
    state.SetManifest(Manifest(1, 10));
    boost::intrusive_ptr<entry_list> list(new entry_list);
    list->names = {"a", "b"};
    list->peer_addresses = {"a:1", "b:1"};
    list->region_peak = 2;
    list->fleet_peak = 2;
    list->settled_fleet_size = 2;
    list->unchanged_since = clock.now() - 10s;
    state.entries().Replace(list);
  }
  int TakeAll() {
    int taken = 0;
    while (taken < 100 && limiter.Take(kTeam).decision.granted)
      ++taken;
    return taken;
  }
};

// Two entries of one region. `owner` is the one that owns the team's permits.
struct limiter_fixture {
  manual_clock clock;
  limiter_node a{clock, "a"};
  limiter_node b{clock, "b"};
  limiter_node* owner = nullptr;
  limiter_node* other = nullptr;

  limiter_fixture() {
    a.transport.ConnectTo(b.transport);
    b.transport.ConnectTo(a.transport);
    const bool a_owns = *ChooseGrantors(kTeam, {"a", "b"}).owner == 0;
    owner = a_owns ? &a : &b;
    other = a_owns ? &b : &a;
  }
};

}  // namespace

TEST_CASE("an entry and the owner of a team's permits share its limit") {
  limiter_fixture fixture;
  CHECK(fixture.other->limiter.Take(kTeam).decision.granted);
  CHECK(fixture.owner->TakeAll() == 9);
  const auto refused = fixture.other->limiter.Take(kTeam);
  CHECK_FALSE(refused.decision.granted);
  CHECK(refused.decision.retry_after > 0ms);
  CHECK(refused.role == permit_role::kOwner);
}

// Guards against exceeding the limit because a backup grants permits in
// addition to an owner that is too busy to respond.
TEST_CASE("no backup replaces an unresponsive owner that refused recently") {
  limiter_fixture fixture;
  CHECK(fixture.owner->TakeAll() == 10);
  CHECK_FALSE(fixture.other->limiter.Take(kTeam).decision.granted);
  fixture.clock.Advance(1s);
  fixture.other->transport.hold_messages = true;
  CHECK(fixture.other->TakeAll() == 0);
  fixture.clock.Advance(3s);
  CHECK(fixture.other->TakeAll() > 0);
}

TEST_CASE("an unused permit is returned to the entry that granted it") {
  limiter_fixture fixture;
  const auto permit = fixture.other->limiter.Take(kTeam);
  CHECK(fixture.owner->TakeAll() == 9);
  fixture.other->limiter.ReturnPermit(kTeam, permit);
  CHECK(fixture.other->TakeAll() == 1);
}

// Guards against requests failing, or each waiting for the timeout, while the
// owner does not respond.
TEST_CASE("a backup replaces an unresponsive owner, queried once a second") {
  limiter_fixture fixture;
  fixture.other->transport.hold_messages = true;
  const auto permit = fixture.other->limiter.Take(kTeam);
  CHECK(permit.decision.granted);
  CHECK(permit.role == permit_role::kBackup);
  fixture.other->TakeAll();
  CHECK(fixture.other->transport.sent.size() == 1);
  fixture.clock.Advance(1s);
  CHECK(fixture.other->TakeAll() <= 7);
  CHECK(fixture.other->transport.sent.size() == 2);
}

// Guards against losing permits whose grant arrives after the timeout.
TEST_CASE("a permit granted by a late response is returned to the owner") {
  limiter_fixture fixture;
  fixture.other->transport.hold_messages = true;
  fixture.other->limiter.Take(kTeam);
  fixture.other->transport.hold_messages = false;
  fixture.other->transport.DeliverHeld();
  CHECK(fixture.owner->TakeAll() == 10);
}

// Guards against overloading the owner with requests of a hot team.
TEST_CASE("a refusal by the owner is cached") {
  limiter_fixture fixture;
  fixture.owner->TakeAll();
  for (int i = 0; i < 50; ++i)
    CHECK_FALSE(fixture.other->limiter.Take(kTeam).decision.granted);
  CHECK(fixture.other->transport.sent.size() == 1);
  fixture.clock.Advance(200ms);
  CHECK(fixture.other->limiter.Take(kTeam).decision.granted);
}

TEST_CASE("a lowered limit takes effect at the owner immediately") {
  limiter_fixture fixture;
  fixture.owner->state.SetManifest(Manifest(2, 4));
  CHECK(fixture.other->TakeAll() == 4);
}

TEST_CASE("a team without a limit needs no permit") {
  limiter_fixture fixture;
  for (auto* each : {&fixture.a, &fixture.b})
    each->state.SetManifest(Manifest(2, 0));
  CHECK(fixture.other->TakeAll() == 100);
  CHECK(fixture.other->transport.sent.empty());
}

TEST_CASE("permit messages that can't be decoded are counted and dropped") {
  limiter_fixture fixture;
  for (const auto kind :
       {message_kind::kPermitRequest, message_kind::kPermitResponse,
        message_kind::kPermitReturn, message_kind::kPermitLoanRequest,
        message_kind::kPermitLoan})
    REQUIRE(fixture.other->transport.Send("", kind, "x"));
  CHECK(fixture.owner->counters.Render().find("permits_malformed_total 5") !=
        std::string::npos);
  CHECK(fixture.owner->transport.sent.empty());
}

// Two regions with one entry each; all of a team's callers are in one of them.
TEST_CASE("an owner that runs short borrows from the owner in another region") {
  limiter_fixture fixture;
  for (auto* each : {&fixture.a, &fixture.b}) {
    const bool is_a = each == &fixture.a;
    each->settings.place.region = is_a ? "r-a" : "r-b";
    each->state.SetBounds([] {
      traffic_bounds bounds;
      bounds.regions = 2;
      return bounds;
    }());
    boost::intrusive_ptr<entry_list> list(new entry_list);
    list->names = {is_a ? "a" : "b"};
    list->peer_addresses = {is_a ? "a:1" : "b:1"};
    list->settled_fleet_size = 2;
    list->other_regions = {{is_a ? "r-b" : "r-a", {is_a ? "b:1" : "a:1"}}};
    list->unchanged_since = fixture.clock.now() - 10s;
    each->state.entries().Replace(list);
  }
  CHECK(fixture.a.TakeAll() > 5);
  CHECK(fixture.a.TakeAll() + fixture.b.TakeAll() < 5);
}
