#include "gateway/fleet_view.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "support/fake_peer_network.h"
#include "support/fake_peer_transport.h"
#include "support/manual_clock.h"

using namespace samphire;

namespace {

member Member(const std::string& name) {
  member one;
  one.name = name;
  one.region = "r";
  one.caller_address = one.peer_address = name;
  one.incarnation = 1;
  return one;
}

// An entry that gets reports on others from a peer.
struct reported_fleet {
  manual_clock clock;
  metrics registry;
  fake_peer_network network{1};
  fake_peer_transport transport{network, "self", "self", 1};
  fake_peer_transport peer{network, "peer", "peer", 1};
  membership_service membership{Member("self"), {},       transport,
                                clock,          registry, 1};
  node_state state;
  fleet_view view{"r", state};

  reported_fleet() {
    for (const auto* name : {"peer", "other"})
      Report(Member(name));
  }
  void Report(const member& one) {
    const auto sent = peer.Send("self", message_kind::kGossip,
                                EncodeBinary(records_message{{one}, {}}));
    REQUIRE(sent);
    network.RunUntil(network.now() + milliseconds(10));
  }
  void ReportState(member_state reported) {
    auto one = Member("other");
    one.state = reported;
    Report(one);
  }
  std::vector<std::string> Named() {
    view.Refresh(membership, {});
    std::vector<std::string> names;
    for (const auto& each : state.entries.Get()->EntriesIn("r"))
      names.push_back(each.name);
    return names;
  }
};

}  // namespace

// Guards against callers that are sent to an entry that has ended, for as long
// as it is suspected.
TEST_CASE("look-ups of the own path name no entry that is in doubt") {
  reported_fleet fleet;
  REQUIRE(fleet.Named() == std::vector<std::string>{"self", "other", "peer"});
  const std::vector<std::string> without{"self", "peer"};
  SECTION("suspected") {
    fleet.ReportState(member_state::kSuspect);
    CHECK(fleet.Named() == without);
    // It may still serve, so peers go on asking it.
    CHECK(fleet.view.AddressOf("other") == "other");
  }
  SECTION("left, and suspected by an entry that has missed it") {
    fleet.ReportState(member_state::kLeaving);
    CHECK(fleet.Named() == without);
    fleet.ReportState(member_state::kSuspect);
    CHECK(fleet.Named() == without);
  }
  SECTION("dead") {
    fleet.ReportState(member_state::kDead);
    CHECK(fleet.Named() == without);
    CHECK(fleet.view.AddressOf("other").empty());
  }
}
