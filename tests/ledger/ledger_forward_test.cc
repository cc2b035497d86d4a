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

constexpr const char* kKey = "fleet-fleet-fleet-fleet-fleet-fleet";

struct fixed_router final : shard_router {
  std::string LeaderOf(std::uint32_t) const override { return leader; }
  std::string leader;
};

// One entry's ledger with what it needs to forward and to lead.
struct live_ledger {
  live_ledger(const std::string& name, object_store& store)
      : transport("127.0.0.1:0",
                  name,
                  1,
                  peer_keys::Parse(kKey).value(),
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

TEST_CASE("a shard's leader commits for the others") {
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
                                Answer("done")) == settle_effect::kRecorded);
  const auto repeat = follower.Reserve("k");
  REQUIRE(Is<replay>(repeat));
  CHECK(std::get<replay>(repeat).answer.body == "done");
  CHECK(std::get<replay>(repeat).code == result_code::kReplayed);
  CHECK(follower.Puts() == 0);
}

// The leader of a shard dies, and membership hasn't noticed yet. Claims of
// that shard still go through: their entry writes to the platform itself.
TEST_CASE("without an answer of the leader an entry commits itself") {
  fake_object_store store;
  live_ledger leader("leader", store);
  live_ledger follower("follower", store);
  follower.router.leader = leader.transport.address();
  leader.server.reset();
  const auto outcome = follower.Reserve("k");
  REQUIRE(Is<reserved>(outcome));
  CHECK(follower.Puts() == 1);
  CHECK(follower.entry.Complete(std::get<reserved>(outcome).ticket,
                                Answer(std::string(4000, 'x'))) ==
        settle_effect::kRecorded);
  CHECK(Is<replay>(leader.Reserve("k")));
}

// The platform is down for the leader and the asker alike. The caller is told
// "not run"; the leader must not reserve it later, since nobody would run it
// and its retry would be turned away.
TEST_CASE("what was refused after being forwarded is free again") {
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

// A process asks in another's name, to release or complete what that one runs.
TEST_CASE("nobody settles another's reservation by way of the leader") {
  fake_object_store store;
  live_ledger leader("leader", store);
  live_ledger stranger("stranger", store);
  auto outcome = leader.Reserve("k");
  auto ticket = std::get<reserved>(outcome).ticket;
  const auto answer =
      stranger.forwarder.Forward(leader.transport.address(),
                                 release_operation{ticket, std::nullopt, false},
                                 stranger.clock.now() + milliseconds(250));
  CHECK_FALSE(answer);
  CHECK(leader.registry.counter("ledger_forwards_refused_total",
                                "reason=\"not-holder\"") >= 1);
  CHECK(Is<in_progress>(leader.Reserve("k")));
}
