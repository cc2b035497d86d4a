#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "support/membership_simulation.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// Starts a region of ten members and waits until all know each other.
void Settle(membership_simulation& world) {
  world.StartRegion("r", 10, "r-0");
  world.Run(15s);
  REQUIRE(world.HasConverged("r", 10));
}

}  // namespace

TEST_CASE("entries that start together with one seed all find each other") {
  membership_simulation world(1);
  world.StartRegion("r", 30, "r-0");
  const auto took =
      world.RunUntil([&] { return world.HasConverged("r", 30); }, 60s);
  CHECK(took < 20s);
}

// Entries are stopped for an update. Each announces it, and callers are no
// longer sent to it after one or two ticks, long before it stops.
TEST_CASE("an announced stop is known to all at once and raises no suspicion") {
  membership_simulation world(2);
  Settle(world);
  world.Core("r-3").AnnounceLeaving();
  world.Run(300ms);
  CHECK(world.CountMembersSeeing("r", "r-3", member_state::kLeaving) == 9);
  world.Run(30s);
  CHECK(world.CountMembersSeeing("r", "r-3", member_state::kLeaving) == 9);
}

// The process of an entry crashes. Until the other members suspect it, look-ups
// name it, requests forwarded to it fail and its callers must try another
// entry. No other member may be declared dead meanwhile.
TEST_CASE("a crashed entry is declared dead by all within seconds") {
  // The shortest window of stable links of an installation so far, and three
  // seconds.
  constexpr auto kMaxNamed = 6s;
  membership_simulation world(3);
  Settle(world);
  world.Crash("r-4");
  const auto until_unnamed = world.RunUntil(
      [&] {
        return world.CountMembersSeeing("r", "r-4", member_state::kAlive) == 0;
      },
      60s);
  CHECK(until_unnamed < kMaxNamed);
  const auto until_dead = world.RunUntil(
      [&] {
        return world.CountMembersSeeing("r", "r-4", member_state::kDead) == 9;
      },
      60s);
  CHECK(until_unnamed + until_dead <
        kMaxNamed + world.options.suspicion_timeout);
  for (const auto& name : world.Names()) {
    CHECK(world.CountEvents(name, member_state::kDead) == 1);
    CHECK(world.Core(name).table().AliveMembers().size() == 9);
  }
}

// An instance is paused for a minute and resumes. The other members have
// declared it dead by then. It must become a member again, and must not suspect
// the others because of the acks that it missed during the pause.
TEST_CASE("a paused entry returns and suspects nobody") {
  membership_simulation world(4);
  Settle(world);
  world.Pause("r-5");
  world.Run(60s);
  CHECK(world.CountMembersSeeing("r", "r-5", member_state::kDead) == 9);
  world.Resume("r-5");
  const auto took =
      world.RunUntil([&] { return world.HasConverged("r", 10); }, 60s);
  CHECK(took < 15s);
  CHECK(world.CountEvents("r-5", member_state::kSuspect) == 0);
  CHECK(world.Core("r-5").table().self().refutation == 1);
}

// One link is cut in one direction: an entry receives from another but its
// messages to it are lost. It serves all others, so it must not be declared
// dead.
TEST_CASE("a one-way cut between two entries removes no member") {
  membership_simulation world(5);
  Settle(world);
  world.network.is_blocked = [](const auto& from, const auto& to) {
    return from == "r-1" && to == "r-2";
  };
  world.Run(120s);
  CHECK(world.HasConverged("r", 10));
  for (const auto& name : world.Names())
    CHECK(world.CountEvents(name, member_state::kDead) == 0);
}

// A tenth of all datagrams is lost and some are duplicated, as on a congested
// link, and then a quarter. Suspicions arise and are refuted. No member is
// declared dead, so no caller is sent away from an entry that serves.
TEST_CASE("false suspicions are refuted under loss") {
  membership_simulation world(6);
  Settle(world);
  world.network.loss = 0.1;
  world.network.duplicates = 0.05;
  world.Run(3600s);
  const auto count_refutations = [&world] {
    std::uint32_t refutations = 0;
    for (const auto& name : world.Names()) {
      CHECK(world.CountEvents(name, member_state::kDead) == 0);
      refutations += world.Core(name).table().self().refutation;
    }
    return refutations;
  };
  count_refutations();
  world.network.loss = 0.25;
  world.Run(1800s);
  CHECK(count_refutations() > 0);
  world.network.loss = 0;
  world.Run(15s);
  CHECK(world.HasConverged("r", 10));
}

// An instance gets a new process before the death of the old one is known, or
// long after. Loans and reservations belong to a process, so the other members
// must know which process they deal with.
TEST_CASE("a restarted entry is recognized as a new process") {
  membership_simulation world(7);
  Settle(world);
  world.Start("r-6", "r", "r-0", 2);
  const auto known = [&] {
    for (const auto& name : world.Names()) {
      const auto* seen = world.Core(name).table().Find("r-6");
      if (seen == nullptr || seen->incarnation != 2 ||
          seen->state != member_state::kAlive) {
        return false;
      }
    }
    return true;
  };
  CHECK(world.RunUntil(known, 60s) < 10s);
  world.Run(60s);
  CHECK(known());
  CHECK(world.Core("r-6").table().self().refutation == 0);
}

// Regions are cut off from each other, and one region is split into two halves,
// for twenty minutes. Each part goes on working. When the network partition
// ends, all find each other again without an operator.
TEST_CASE("regions and halves that were cut off find each other again") {
  membership_simulation world(8);
  for (const std::string region : {"a", "b", "c"})
    world.StartRegion(region, 6, "a-0");
  const auto all_known = [&] {
    for (const auto& name : world.Names()) {
      if (world.Core(name)
              .regions()
              .FreshWithin(60s, world.Core(name).WallMs(world.network.now()))
              .size() != 2)
        return false;
    }
    return world.HasConverged("a", 6) && world.HasConverged("b", 6) &&
           world.HasConverged("c", 6);
  };
  CHECK(world.RunUntil(all_known, 120s) < 60s);
  const auto side = [](const std::string& name) {
    return name[0] == 'a' || name == "b-0" || name == "b-1" || name == "b-2";
  };
  world.network.is_blocked = [side](const auto& from, const auto& to) {
    return side(from) != side(to);
  };
  world.Run(1200s);
  CHECK(world.HasConverged("b", 3));
  CHECK(world.HasConverged("a", 6));
  CHECK(world.Core("c-0").regions().FreshWithin(
            60s, world.Core("c-0").WallMs(world.network.now())) ==
        std::vector<std::string>{"b"});
  world.network.is_blocked = [](const auto&, const auto&) { return false; };
  CHECK(world.RunUntil(all_known, 300s) < 120s);
}

TEST_CASE("each entry knows entries, load and configuration of other regions") {
  membership_simulation world(9);
  for (const std::string region : {"a", "b", "c"})
    world.StartRegion(region, 8, "a-0");
  for (const auto& name : world.Names()) {
    member_digest digest;
    digest.config_version = name == "c-5" ? 7 : 6;
    digest.loads.push_back({ServiceId("s"), 10, 1});
    world.Core(name).SetSelf(digest, 99);
  }
  world.Run(120s);
  for (const auto& name : world.Names()) {
    const auto& core = world.Core(name);
    CHECK(core.regions().digests().size() == 2);
    for (const auto& [region, digest] : core.regions().digests()) {
      CHECK(digest.contacts.size() == kMaxContacts);
      CHECK(digest.entries == 8);
      CHECK(digest.free_slots == 80);
      CHECK(digest.queued == 8);
      CHECK(digest.config_version == (region == "c" ? 7 : 6));
    }
    for (const auto& [other, known] : core.table().other_members())
      CHECK(known.digest.loads.size() == 1);
  }
}

TEST_CASE("a process that was replaced is notified") {
  membership_simulation world(10);
  Settle(world);
  auto& old = world.Core("r-1");
  peer_message from_new{"r-1", 2, "elsewhere", {}};
  old.Receive(message_kind::kProbe, from_new, world.network.now());
  const auto events = old.TakeEvents();
  REQUIRE(events.size() == 1);
  CHECK(std::holds_alternative<process_replaced>(events.front()));
}

// The digest of a region is sent a few times only. An entry that missed it,
// because of packet loss or since it started later, could not forward requests
// to that region for minutes.
TEST_CASE("an entry that missed the digest of a region requests it") {
  membership_simulation world(11);
  Settle(world);
  region_digest far;
  far.region = "far";
  far.as_of = world.Core("r-0").WallMs(world.network.now());
  far.contacts.push_back({"x", "x", "x"});
  const peer_message region_update{"y", 1, "y",
                                   EncodeBinary(records_message{{}, {far}})};
  world.Core("r-0").Receive(message_kind::kRegionDigest, region_update,
                            world.network.now());
  // All messages of r-0 about the region are lost.
  bool lossy = true;
  world.network.is_blocked = [&lossy](const auto& from, const auto&) {
    return lossy && from == "r-0";
  };
  world.Run(4s);
  lossy = false;
  world.Run(60s);
  for (const auto& name : world.Names())
    CHECK(world.Core(name).regions().Find("far") != nullptr);
}
