#include "allowance/seat_keeper.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <map>
#include <memory>

#include "allowance/seat_slot_map.h"
#include "support/fake_object_store.h"
#include "support/manual_clock.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kSeats = 6;
constexpr auto kQuarantine = 20s;

struct test_user final : seat_user {
  std::vector<std::uint32_t> usable;
  bool idle = true;

  void OnSeats(const std::vector<std::uint32_t>& seats) override {
    usable = seats;
  }
  bool IsIdle(std::uint32_t /*seat*/) override { return idle; }
};

// Keepers of one region on the fake platform, stepped in simulated time.
struct seat_rig {
  struct entry {
    test_user user;
    std::unique_ptr<seat_keeper> keeper;
  };

  void Start(const std::string& name) {
    auto& one = entries[name];
    seat_keeper_state state(name, "kandy", ++incarnation, {}, clock.now());
    one.keeper = std::make_unique<seat_keeper>(store, clock, registry, "kandy",
                                               std::move(state), one.user);
    one.keeper->SetSeats(kSeats, kQuarantine);
    listed[name] = {name, "entry", "", "kandy", "kandy-a"};
    List();
  }
  void Die(const std::string& name, bool gone) {
    entries.erase(name);
    if (gone)
      listed.erase(name);
    List();
  }
  void List() {
    std::vector<instance_info> list;
    for (const auto& [name, info] : listed)
      list.push_back(info);
    store.SetInstances(list);
  }
  void Run(std::chrono::seconds by) {
    std::vector<std::string> names;
    for (const auto& [name, one] : entries)
      names.push_back(name);
    for (const auto end = clock.now() + by; clock.now() < end;
         clock.Advance(100ms)) {
      for (auto& [name, one] : entries) {
        one.keeper->SetMembers(names);
        one.keeper->Step();
      }
    }
  }
  std::size_t Usable(const std::string& name) {
    return entries.at(name).user.usable.size();
  }
  int Calls() const { return store.reads() + store.writes(); }

  fake_object_store store;
  manual_clock clock;
  metrics registry;
  std::map<std::string, instance_info> listed;
  std::map<std::string, entry> entries;
  std::uint64_t incarnation = 0;
};

std::unique_ptr<seat_rig> Settled(int entries) {
  auto rig = std::make_unique<seat_rig>();
  for (int n = 0; n < entries; ++n)
    rig->Start(fmt::format("e{}", n));
  rig->Run(30s);
  return rig;
}

}  // namespace

TEST_CASE("entries share their region's seats evenly, also when one joins") {
  const auto rig = Settled(2);
  CHECK(rig->Usable("e0") == 3);
  CHECK(rig->Usable("e1") == 3);
  rig->Start("e2");
  rig->Run(30s);
  for (const auto* name : {"e0", "e1", "e2"})
    CHECK(rig->Usable(name) == 2);
  CHECK(rig->registry.counter("seats_lost_total") == 0);
}

TEST_CASE("a seat in use is not handed over before its work has ended") {
  // A new entry joins while all slots of the others run long downloads. A seat
  // handed over early would have its slots used twice.
  const auto rig = Settled(2);
  rig->entries.at("e0").user.idle = rig->entries.at("e1").user.idle = false;
  rig->Start("e2");
  rig->Run(60s);
  CHECK(rig->Usable("e2") == 0);
  CHECK(rig->Usable("e0") + rig->Usable("e1") >= 4);
  rig->entries.at("e0").user.idle = rig->entries.at("e1").user.idle = true;
  rig->Run(30s);
  CHECK(rig->Usable("e2") == 2);
}

TEST_CASE("an outage of the platform costs no entry its seats") {
  // The platform is down for an hour. Were seats to lapse, the region would
  // refuse everything though all its targets are well.
  const auto rig = Settled(2);
  rig->store.SetDown(true);
  const int before = rig->Calls();
  rig->Run(600s);
  CHECK(rig->Usable("e0") == 3);
  CHECK(rig->Usable("e1") == 3);
  CHECK(rig->Calls() - before < 2 * 10 * 10);
  rig->store.SetDown(false);
  rig->Run(60s);
  CHECK(rig->Usable("e0") + rig->Usable("e1") == kSeats);
}

TEST_CASE("lost answers neither double a seat nor lose one") {
  // Claims take effect and their answers are lost, or they never arrive.
  const bool took_effect = GENERATE(true, false);
  seat_rig rig;
  took_effect ? rig.store.LoseNextAnswers(5) : rig.store.LoseNextRequests(5);
  rig.Start("e0");
  rig.Start("e1");
  rig.Run(30s);
  CHECK(rig.Usable("e0") == 3);
  CHECK(rig.Usable("e1") == 3);
}

TEST_CASE("a process that starts anew waits before it uses its seats") {
  // The process is killed and started again within a second; requests that its
  // predecessor sent still run at the targets, and its loans are out.
  const auto rig = Settled(2);
  rig->Die("e0", false);
  rig->Start("e0");
  rig->Run(20s);
  CHECK(rig->entries.at("e0").keeper->held() == 3);
  CHECK(rig->Usable("e0") == 0);
  rig->Run(2s);
  CHECK(rig->Usable("e0") == 3);
}

TEST_CASE("a gone instance's seats are recovered, a silent one's are not") {
  // One instance is gone with its seats; another is listed, but its process
  // died. Only the first one's work is sure to have ended some time; the other
  // one's share is shown as stranded.
  const auto rig = Settled(3);
  rig->Die("e0", false);
  rig->Run(120s);
  CHECK(rig->Usable("e1") + rig->Usable("e2") == 4);
  CHECK(rig->entries.at("e1").keeper->Stranded().size() +
            rig->entries.at("e2").keeper->Stranded().size() >=
        2);
  rig->listed.erase("e0");
  rig->List();
  // Up to 30 s until the list is looked at, 10 s of absence, the quarantine.
  rig->Run(75s);
  CHECK(rig->Usable("e1") == 3);
  CHECK(rig->Usable("e2") == 3);
}

TEST_CASE("an entry that leaves hands its seats over at once") {
  const auto rig = Settled(3);
  rig->entries.at("e0").keeper->Leave();
  rig->entries.at("e0").keeper->Step();
  CHECK(rig->Usable("e0") == 0);
  rig->Run(3s);
  CHECK(rig->entries.at("e0").keeper->held() == 0);
  rig->Die("e0", true);
  rig->Run(10s);
  CHECK(rig->Usable("e1") + rig->Usable("e2") == kSeats);
}

TEST_CASE("a seat that can't be read is left to the operator") {
  // Somebody overwrote a seat's object. Its owner may still be using it.
  seat_rig rig;
  REQUIRE(rig.store.Put(SeatKey("kandy", 0), "garbage", 0));
  rig.Start("e0");
  rig.Run(60s);
  CHECK(rig.Usable("e0") == kSeats - 1);
  CHECK(rig.registry.counter("seat_errors_total", "reason=\"store-corrupt\"") >
        0);
}

TEST_CASE("platform calls stay few: idle, and for a take-over") {
  const auto rig = Settled(3);
  rig->Run(120s);
  int before = rig->Calls();
  rig->Run(600s);
  const int idle = rig->Calls() - before;
  before = rig->Calls();
  rig->Die("e0", true);
  rig->Run(60s);
  const int take_over = rig->Calls() - before;
  WARN("calls per entry and idle minute " << idle / 30.0 << ", per take-over "
                                          << take_over);
  CHECK(idle <= 3 * 10 * 2);
  CHECK(take_over <= 60);
  CHECK(rig->Usable("e1") + rig->Usable("e2") == kSeats);
}

TEST_CASE("one look at the list makes no instance gone") {
  // A reader gets a copy of the list from before an instance was added.
  seat_holder_watch watch(10s);
  const time_point start(1h);
  const std::vector<instance_info> with{{"e0", "entry", "", "r", "d"}};
  watch.OnInstances({}, {"e0"}, start);
  CHECK_FALSE(watch.IsGone("e0"));
  watch.OnInstances(with, {"e0"}, start + 9s);
  watch.OnInstances({}, {"e0"}, start + 11s);
  CHECK_FALSE(watch.IsGone("e0"));
  watch.OnInstances({}, {"e0"}, start + 21s);
  CHECK(watch.IsGone("e0"));
}

TEST_CASE("the seats' slots are the region's slots, each exactly once") {
  for (std::uint32_t seats = 1; seats <= 40; ++seats) {
    for (std::uint32_t slots = 0; slots <= 45; ++slots) {
      const target one{fmt::format("t{}", slots), "", "", slots};
      std::uint32_t sum = 0;
      for (std::uint32_t seat = 0; seat < seats + 2; ++seat)
        sum += SlotsOfSeat("s", one, seat, seats);
      REQUIRE(sum == slots);
    }
  }
  const std::vector<target> targets{{"a", "", "", 3}, {"b", "", "", 4}};
  const std::vector<std::uint32_t> all{0, 1, 2, 3};
  CHECK(SlotsOfSeats("s", targets, all, 4) == std::vector<std::uint32_t>{3, 4});
}
