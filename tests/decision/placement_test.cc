#include <catch2/catch.hpp>
#include <map>

#include "support/small_service.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// Runs rounds of `at_once` requests and counts them by target; `slow` answers
// in 500 ms, the others in 50 ms.
std::map<std::string, int> RunWithSlowTarget(dispatcher_fixture& entry,
                                             int rounds,
                                             int at_once,
                                             const std::string& slow) {
  std::map<std::string, int> by_target;
  for (int i = 0; i < rounds; ++i) {
    std::vector<slot_grant> running;
    for (int j = 0; j < at_once; ++j) {
      const auto decision = entry.Submit("reading", 5000ms);
      if (const auto* grant = std::get_if<slot_grant>(&decision))
        running.push_back(*grant);
    }
    entry.now += 20ms;
    for (const auto& grant : running) {
      ++by_target[grant.target];
      for (const auto& each :
           entry.Finish(grant, grant.target == slow ? 500ms : 50ms)) {
        if (const auto* next = std::get_if<slot_grant>(&each.result))
          entry.Finish(*next, next->target == slow ? 500ms : 50ms);
      }
    }
  }
  return by_target;
}

std::vector<std::string> Ejected(const dispatcher_fixture& entry) {
  return entry.slots.status(entry.now).ejected;
}

}  // namespace

// A target with a failing disk answers ten times as slowly. With evenly spread
// requests a quarter of all callers would wait ten times as long.
TEST_CASE("a slow target is ejected") {
  dispatcher_fixture entry(4, 2);
  // With every slot in use the slow target's slots are used as well, so only
  // ejection helps.
  const auto by_target = RunWithSlowTarget(entry, 25, 8, "t1");
  CHECK(Ejected(entry) == std::vector<std::string>{"t1"});
  CHECK(by_target.at("t1") < 20);
}

TEST_CASE("a slow target is rarely chosen while others are free") {
  dispatcher_fixture entry(4, 2);
  CHECK(RunWithSlowTarget(entry, 200, 1, "t1").at("t1") < 20);
}

// A target's load report is stuck at idle while the target is slow. If the
// report were trusted, most work would be sent there.
TEST_CASE("a wrong load report attracts no work to a slow target") {
  dispatcher_fixture entry(4, 2);
  for (const auto* honest : {"t0", "t2", "t3"})
    entry.slots.SetLoadHint(honest, 1);
  entry.slots.SetLoadHint("t1", 0);
  const auto by_target = RunWithSlowTarget(entry, 200, 1, "t1");
  CHECK(by_target.at("t1") < 20);
}

// A target is dead. Each attempt there is a failure for its caller until the
// target is ejected; once it is back, a single request must detect it, not all
// at once.
TEST_CASE("a failing target is ejected, probed by one request and readmitted") {
  dispatcher_fixture entry(3, 4);
  entry.Run(20);
  int failures = 0;
  // Bounded, since without ejection this would never end.
  for (int i = 0; i < 1000 && Ejected(entry).empty(); ++i) {
    const auto grant = entry.Grant();
    const bool dead = grant.target == "t0";
    failures += dead ? 1 : 0;
    entry.Finish(grant, 1ms,
                 dead ? attempt_outcome::kConnectFailed : attempt_outcome::kOk);
  }
  CHECK(failures == 5);
  entry.now += 999ms;
  CHECK_FALSE(entry.Grant().probe);
  entry.now += 2ms;
  // A request that must not run twice is not used as a probe.
  CHECK_FALSE(entry.Grant("claim").probe);
  const auto probe = entry.Grant();
  CHECK(probe.probe);
  CHECK(probe.target == "t0");
  CHECK_FALSE(entry.Grant().probe);
  entry.Finish(probe, 1ms, attempt_outcome::kConnectFailed);
  // The next probe follows after twice the backoff.
  entry.now += 1500ms;
  CHECK_FALSE(entry.Grant().probe);
  entry.now += 600ms;
  const auto second = entry.Grant();
  REQUIRE(second.probe);
  entry.Finish(second, 50ms);
  CHECK(Ejected(entry).empty());
}

// The network between this entry and all targets fails. If each target were
// ejected, the entry would serve nobody even after the network has recovered.
TEST_CASE("no more than a third of the targets is ejected") {
  dispatcher_fixture entry(6, 4);
  for (int i = 0; i < 300; ++i)
    entry.Finish(entry.Grant(), 1ms, attempt_outcome::kConnectFailed);
  CHECK(Ejected(entry).size() == 2);
}

// One request takes twenty times as long as the others. The cause is the
// request, so its target must not be ejected.
TEST_CASE("one very long request ejects no target") {
  dispatcher_fixture entry(4, 2);
  entry.Run(200);
  entry.Finish(entry.Grant("reading", 5000ms), 1000ms);
  CHECK(Ejected(entry).empty());
}

// A target has been replaced and its cache is empty. If it received its whole
// share at once, its responses would stay slow for longer than with a warm-up.
TEST_CASE("the slots of a new target grow over the ramp") {
  dispatcher_fixture entry(1, 1);
  auto grown = entry.declared;
  grown.targets.push_back(grown.targets[0]);
  grown.targets[1].name = "cold";
  grown.targets[1].slots = 10;
  entry.slots.SetService(grown, limits{}, entry.now);
  entry.slots.SetOwnedSlots({{"cold", 10}}, entry.now);
  std::vector<std::uint32_t> usable;
  for (int i = 0; i <= 5; ++i) {
    usable.push_back(entry.slots.status(entry.now).free);
    entry.now += 1s;
  }
  CHECK(usable.front() <= 1);
  CHECK(usable[2] >= 4);
  CHECK(usable[2] <= 5);
  CHECK(usable.back() == 10);
}

TEST_CASE("a target that sheds load gets half of its slots and ramps up") {
  dispatcher_fixture entry(1, 8);
  entry.Finish(entry.Grant(), 1ms, attempt_outcome::kTargetShed);
  CHECK(entry.slots.status(entry.now).free <= 5);
  entry.now += 3s;
  CHECK(entry.slots.status(entry.now).free == 8);
}

TEST_CASE("a retry waits for another failure domain, if there is one") {
  dispatcher_fixture entry(2, 1);
  auto first = entry.Request("reading", 1000ms);
  first.avoid_failure_domains = {"d0"};
  const auto away = std::get<slot_grant>(entry.Submit(first));
  CHECK(away.failure_domain == "d1");
  auto second = entry.Request("reading", 1000ms);
  second.avoid_failure_domains = {"d0"};
  CHECK(std::holds_alternative<queued>(entry.Submit(second)));
  // Other requests overtake it on the slot that it avoids.
  CHECK(entry.Grant().failure_domain == "d0");
  const auto woken = entry.Finish(away);
  REQUIRE(woken.size() == 1);
  CHECK(woken[0].request_id == second.id);
}

TEST_CASE("a retry goes back to the only failure domain") {
  dispatcher_fixture entry(1, 1);
  auto request = entry.Request("reading", 1000ms);
  request.avoid_failure_domains = {"d0"};
  CHECK(std::holds_alternative<slot_grant>(entry.Submit(request)));
}

// A request has crashed one target and is sent again. Anything that runs beside
// it would be lost with the next target.
TEST_CASE("a crash suspect runs alone on its target") {
  dispatcher_fixture entry(2, 3);
  const auto busy = entry.Grant();
  auto suspect = entry.Request("reading", 1000ms);
  suspect.isolate = true;
  const auto alone = std::get<slot_grant>(entry.Submit(suspect));
  CHECK(alone.target != busy.target);
  CHECK(entry.Grant().target == busy.target);
  CHECK(entry.Grant().target == busy.target);
  CHECK(std::holds_alternative<queued>(entry.Submit("reading", 1000ms)));
  CHECK(entry.Finish(alone).size() == 1);
}
