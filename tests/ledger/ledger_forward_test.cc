#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "base/system_clock_source.h"
#include "ledger/forward_server.h"
#include "ledger/ledger_fixture.h"
#include "ledger/peer_operation_forwarder.h"
#include "peer/udp_peer_transport.h"

using namespace samphire;

namespace {

constexpr const char* kPeerKey = "fleet-fleet-fleet-fleet-fleet-fleet";

// Router that names the same leader for every shard.
struct fixed_router final : shard_router {
  std::string LeaderOf(std::uint32_t) const override { return leader; }
  std::string leader;
};

// The ledger of one entry with real transport, forwarder and server.
struct live_ledger {
  live_ledger(const std::string& name, object_store& store)
      : transport("127.0.0.1:0",
                  name,
                  1,
                  peer_keys::Parse(kPeerKey).value(),
                  clock,
                  registry),
        forwarder(transport, clock, registry),
        entry(store, router, clock, registry, Options(name), &forwarder),
        server(std::make_unique<forward_server>(entry,
                                                transport,
                                                clock,
                                                registry)) {
    transport.Start();
  }
  static ledger_options Options(const std::string& name) {
    ledger_options options;
    options.self = {name, 1};
    return options;
  }
  reservation_outcome Reserve(const std::string& key) {
    return entry.Reserve(
        {"s", key, "d", clock.now() + std::chrono::seconds(30)});
  }
  // The number of writes to the platform by this entry.
  std::int64_t Puts() {
    return registry.counter("ledger_store_calls_total", "call=\"put\"");
  }

  system_clock_source clock;
  metrics registry;
  fixed_router router;
  udp_peer_transport transport;
  peer_operation_forwarder forwarder;
  ledger entry;
  std::unique_ptr<forward_server> server;
};

}  // namespace

TEST_CASE("the leader of a shard commits for other entries") {
  fake_object_store store;
  live_ledger leader("leader", store);
  live_ledger follower("follower", store);
  REQUIRE(Is<reserved>(leader.Reserve("own")));
  follower.router.leader = leader.transport.address();
  const auto outcome = follower.Reserve("k");
  REQUIRE(Is<reserved>(outcome));
  CHECK(std::get<reserved>(outcome).ticket.holder.instance == "follower");
  CHECK(Is<in_progress>(follower.Reserve("k")));
  CHECK(follower.entry.Complete(std::get<reserved>(outcome).ticket,
                                Response("done")) == settle_effect::kRecorded);
  const auto repeat = follower.Reserve("k");
  REQUIRE(Is<replay>(repeat));
  CHECK(std::get<replay>(repeat).response.body == "done");
  CHECK(std::get<replay>(repeat).code == result_code::kReplayed);
  CHECK(follower.Puts() == 0);
}

// The leader of a shard has failed, and membership hasn't detected it yet.
// Requests of that shard must still succeed: their entry commits through the
// platform itself.
TEST_CASE("an entry commits directly when the leader does not respond") {
  fake_object_store store;
  live_ledger leader("leader", store);
  live_ledger follower("follower", store);
  follower.router.leader = leader.transport.address();
  leader.server.reset();
  const auto outcome = follower.Reserve("k");
  REQUIRE(Is<reserved>(outcome));
  CHECK(follower.Puts() == 1);
  CHECK(follower.entry.Complete(std::get<reserved>(outcome).ticket,
                                Response(std::string(4000, 'x'))) ==
        settle_effect::kRecorded);
  CHECK(Is<replay>(leader.Reserve("k")));
}

// The platform is unavailable to the leader and the forwarding entry alike, so
// the caller is told "not run". If the leader committed the reservation later,
// no process would dispatch it and the caller's retry would be rejected.
TEST_CASE("a reservation refused after forwarding can be made again") {
  fake_object_store store;
  live_ledger leader("leader", store);
  live_ledger follower("follower", store);
  REQUIRE(Is<reserved>(leader.Reserve("warm")));
  REQUIRE(Is<reserved>(follower.Reserve("warm too")));
  follower.router.leader = leader.transport.address();
  store.SetDown(true);
  CHECK(RefusalOf(follower.Reserve("k")) == result_code::kLedgerUnavailable);
  CHECK(follower.entry.pending() == 1);
  store.SetDown(false);
  follower.entry.RetryPending();
  CHECK(follower.entry.pending() == 0);
  CHECK(Is<reserved>(follower.Reserve("k")));
}

// A process sends a request under the identity of another one, to release or
// complete that one's reservation.
TEST_CASE(
    "the leader rejects settlements from a process other than the holder") {
  fake_object_store store;
  live_ledger leader("leader", store);
  live_ledger impostor("stranger", store);
  auto outcome = leader.Reserve("k");
  auto ticket = std::get<reserved>(outcome).ticket;
  const auto response =
      impostor.forwarder.Forward(leader.transport.address(),
                                 release_operation{ticket, std::nullopt, false},
                                 impostor.clock.now() + milliseconds(250));
  CHECK_FALSE(response);
  CHECK(leader.registry.counter("ledger_forwards_refused_total",
                                "reason=\"not-holder\"") >= 1);
  CHECK(Is<in_progress>(leader.Reserve("k")));
}
