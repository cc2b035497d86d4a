#include <catch2/catch.hpp>
#include <map>
#include <thread>

#include "fleet.h"
#include "scenarios.h"
#include "support/wait_until.h"

using namespace samphire;

namespace {

// Length of the load.
constexpr int kRunMs = 4000;

// Runs load while the platform has a fault, given as JSON, checks the history
// and returns it for checks that apply to this fault only.
std::vector<history_event> RunUnderFault(const std::string& fault,
                                         const std::string& repair) {
  fleet system(PlanFleet(2));
  const auto load = system.StartLoad(MixedScenario(kRunMs));
  REQUIRE(system.WaitForCompleteResponses(50));
  system.SetFaults(fault);
  CHECK(system.WaitForCompleteResponses(100));
  system.SetFaults(repair);
  CHECK(system.WaitForCompleteResponses(50));
  CHECK(load->Wait() == 0);
  auto history = system.History();
  CheckNoViolations(history);
  return history;
}

}  // namespace

// The platform's store is unreachable. Level requests are still served. A claim
// is refused at once without having run, because at-most-once execution can't
// be guaranteed without the store.
TEST_CASE("process: the platform is down under load") {
  const auto history = RunUnderFault(R"({"down":true})", R"({"down":false})");
  CHECK(RuleApplied(history, "not-run"));
}

TEST_CASE("process: the platform is slow under load") {
  RunUnderFault(R"({"slow_ms":400})", R"({"slow_ms":0})");
}

// Writes to the store take effect, but their responses are lost. An entry that
// treats a missing response as a failed write would run a claim twice.
TEST_CASE("process: answers of the platform are lost under load") {
  RunUnderFault(R"({"lose_answers":20})", R"({"lose_answers":0})");
}

// Two operators apply different declarations at the same time, both based on
// the same version. One of them must be refused and told that hers is not in
// force.
TEST_CASE("process: of two operators who race one is refused") {
  fleet system(PlanFleet(2));
  const auto version = system.ConfigVersion(0);
  auto first = system.plan().declaration;
  auto second = first;
  first.limits.lookup_ttl = milliseconds(300);
  second.limits.lookup_ttl = milliseconds(400);
  const auto expect = "&expect=" + std::to_string(version);
  http_reply replies[2];
  std::thread concurrent_apply(
      [&] { replies[0] = system.Apply(0, first, "rival-1", expect); });
  replies[1] = system.Apply(3, second, "rival-2", expect);
  concurrent_apply.join();
  const bool one_accepted =
      (replies[0].status == 200) != (replies[1].status == 200);
  CHECK(one_accepted);
  const auto& refused = replies[replies[0].status == 200 ? 1 : 0];
  CHECK(refused.body.find("5001") != std::string::npos);
  for (std::size_t i = 0; i < system.plan().entries.size(); ++i) {
    CHECK(WaitUntil([&] { return system.ConfigVersion(i) == version + 1; },
                    std::chrono::seconds(20)));
  }
}

// A target is drained for maintenance. It must get no new requests after a few
// seconds, and no response may be lost.
TEST_CASE("process: a drained target gets no new work") {
  fleet system(PlanFleet(2));
  const auto load = system.StartLoad(MixedScenario(6000));
  REQUIRE(system.WaitForCompleteResponses(50));
  auto wanted = system.plan().declaration;
  const auto now = std::chrono::system_clock::now();
  wanted.drains = {{.name = "works",
                    .scope = drain_scope::kTarget,
                    .subject = "s/t11",
                    .starts_at = now,
                    .deadline = now + std::chrono::hours(1)}};
  REQUIRE(system.Apply(1, wanted, "drain").status == 200);
  system.RecordEvent(
      target_leaving{.time_us = HistoryNow(), .target = "s/t11"});
  CHECK(load->Wait() == 0);
  const auto history = system.History();
  // The load lasts longer than a draining target may still get requests, so the
  // rule is checked.
  CheckNoViolations(history);
  CHECK(RuleApplied(history, "leaving-target"));
}

// A request crashes every target that runs it, and its caller retries it
// through other entries. Each crash also loses the responses to other callers,
// so the request must be quarantined.
TEST_CASE("process: a request that crashes targets is stopped") {
  fleet system(PlanFleet(2));
  int quarantined = 0;
  for (int i = 0; i < 12 && quarantined == 0; ++i) {
    const auto reply =
        Call({.address = system.settings(i % 4).caller_address,
              .path = "/v1/services/s/levels/poison",
              .headers = {{"Target-Crash", "1"},
                          {"Request-Id", "poison-" + std::to_string(i)}}});
    const auto result = reply.headers.find("Samphirewinch-Result");
    if (result != reply.headers.end() && result->second.starts_with("2109"))
      ++quarantined;
    // Waits until the crashed target is back before the next attempt.
    REQUIRE(WaitUntil([&] {
      return Call({.address = system.settings(0).caller_address,
                   .path = "/v1/services/s/levels/well",
                   .headers = {{"Request-Id", "well"}}})
                 .status == 200;
    }));
  }
  CHECK(quarantined == 1);
  int crashes = 0;
  for (const auto& event : system.History()) {
    const auto* start = std::get_if<run_started>(&event);
    crashes += start != nullptr && start->request_id.starts_with("poison-");
  }
  // Two crashes lead to quarantine; a third attempt may already be in progress
  // at another entry.
  CHECK(crashes <= 3);
}

// A caller's connection breaks while its claim is running, and it retries with
// the same idempotency key. If the only response were to ask an operator, each
// dropped mobile connection would leave a claim that can't be completed.
TEST_CASE(
    "process: a claim whose caller hung up is answered when asked again") {
  fleet system(PlanFleet(2));
  const auto load = system.StartLoad(
      R"({"name":"hang-up","run_ms":1000,"longest_wait_ms":300,
"callers":[{"region":"east","sources":["127.60.1.1"]}],
"streams":[{"service":"s","class":"claim","method":"POST","path":"/claims",
  "deadline_ms":5000,"keyed":true,"max_attempts":12,"abandon_share":1,
  "abandon_after_ms":20,"headers":{"Target-Sleep-Ms":"100"},
  "rates":[{"at_ms":0,"per_second":10}]}]})");
  CHECK(load->Wait() == 0);
  const auto history = system.History();
  CheckNoViolations(history);
  std::map<std::string, bool> answered;
  const history_index index(history);
  for (const auto& [id, request] : index.requests())
    answered[request.sent.key] |=
        request.answer != nullptr &&
        request.answer->body == answer_body::kComplete;
  for (const auto& [key, whole] : answered) {
    INFO(key);
    CHECK(whole);
  }
}
