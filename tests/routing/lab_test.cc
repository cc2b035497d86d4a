#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "routing/lab_run.h"

using namespace samphire;

namespace {

constexpr std::uint64_t kSeeds = 5;

lab_scenario Scenario(const std::string& name) {
  const auto all = LabScenarios();
  const auto found =
      std::find_if(all.begin(), all.end(),
                   [&](const auto& each) { return each.name == name; });
  REQUIRE(found != all.end());
  return *found;
}

// Over all seeds together.
struct lab_sum {
  lab_tally all;
  double bytes = 0;
  double between_domains = 0;
  double between_regions = 0;
};

lab_sum Play(const std::string& name, const mechanism_set& without = {}) {
  auto scenario = Scenario(name);
  scenario.without = without;
  lab_sum sum;
  for (scenario.seed = 1; scenario.seed <= kSeeds; ++scenario.seed) {
    const auto report = RunLab(scenario);
    sum.all.asked += report.all.asked;
    sum.all.in_time += report.all.in_time;
    sum.all.late += report.all.late;
    sum.all.refused += report.all.refused;
    sum.all.failed += report.all.failed;
    sum.bytes += static_cast<double>(report.bytes);
    sum.between_domains += static_cast<double>(report.bytes_between_domains);
    sum.between_regions += static_cast<double>(report.bytes_between_regions);
  }
  return sum;
}

// What callers lose when placing does without a mechanism.
double WorthOf(placing_mechanism mechanism, const std::string& scenario) {
  return Play(scenario).all.payoff() - Play(scenario, {mechanism}).all.payoff();
}

double Share(double part, double all) {
  return all == 0 ? 0 : part / all;
}

}  // namespace

TEST_CASE("a simulated run repeats, and each request has one end") {
  const auto scenario = Scenario("slow-and-burst");
  const auto one = RunLab(scenario);
  const auto two = RunLab(scenario);
  CHECK(one.all.in_time == two.all.in_time);
  CHECK(one.bytes_between_regions == two.bytes_between_regions);
  CHECK(one.all.asked > 1000);
  CHECK(one.all.in_time + one.all.late + one.all.refused + one.all.failed ==
        one.all.asked);
}

// An installation starts under more load than its targets can do before they
// know any key. Whoever is admitted then waits with hundreds of others, and
// what was waited for times out; told at once, callers come back to targets
// that know their keys.
TEST_CASE("a start under full load makes nobody wait in vain") {
  const auto start = Play("cold-start").all;
  CHECK(Share(start.failed, start.asked) < 0.01);
  CHECK(Share(start.refused, start.asked) < 0.05);
}

// Nothing is wrong, and there is room for all.
TEST_CASE("on a calm day nobody is refused and nothing fails") {
  const auto calm = Play("calm").all;
  CHECK(Share(calm.refused, calm.asked) < 0.001);
  CHECK(calm.failed == 0);
}

// A target fails six of ten requests for twenty seconds, though it says that it
// is well. Receipts that went there may have run, so they are not sent again
// and their callers get a failure; left alone, it hurts only those that find it
// out.
TEST_CASE("a target that keeps failing is found out and avoided") {
  const auto with = Play("failing-long").all;
  const auto without =
      Play("failing-long", {placing_mechanism::kPartialFailures}).all;
  CHECK(Share(with.failed, with.asked) <
        Share(without.failed, without.asked) / 3);
}

// A mechanism that callers don't miss under the load it is made for is code to
// read, test and pay for with nothing in return.
TEST_CASE("each mechanism is worth something under the load it is made for") {
  CHECK(WorthOf(placing_mechanism::kKeyMemory, "burst") > 0);
  CHECK(WorthOf(placing_mechanism::kIdleShare, "cold-start") > 0);
  CHECK(WorthOf(placing_mechanism::kWaitForecast, "cold-start") > 0);
  CHECK(WorthOf(placing_mechanism::kPeerLoad, "cold-start") > 0);
  CHECK(WorthOf(placing_mechanism::kSlowness, "slow-long") > 0);
  CHECK(WorthOf(placing_mechanism::kEjection, "dark-most") > 0);
  CHECK(WorthOf(placing_mechanism::kPartialFailures, "failing-long") > 0);
}

// Sixty entries of a region share its callers, so each meets a target once in
// half a minute and sees nothing of the queue there. Keys whose target is full
// wait behind others while targets nearby idle.
TEST_CASE("in a fleet of many entries a key's owner knows its queue") {
  auto scenario = Scenario("fleet");
  scenario.length = milliseconds{15'000};
  const auto with = RunLab(scenario).all;
  scenario.without = {placing_mechanism::kKeyOwner};
  const auto without = RunLab(scenario).all;
  CHECK(with.payoff() > without.payoff() + 0.03);
  CHECK(Share(with.late - with.late_cold, with.asked) <
        Share(without.late - without.late_cold, without.asked) * 0.7);
}

// Callers whose planned target is full are refused, though another region's
// has room.
TEST_CASE("a target of any region takes what the planned one has no room for") {
  const auto with = Play("slow-targets").all;
  const auto without =
      Play("slow-targets", {placing_mechanism::kOtherTarget}).all;
  CHECK(Share(with.refused, with.asked) <
        Share(without.refused, without.asked) / 2);
}

// The operator pays for what crosses, above all between failure domains.
TEST_CASE("plans keep traffic near: half between domains, none in vain") {
  const auto with = Play("calm");
  const auto no_domains = Play("calm", {placing_mechanism::kDomainPlan});
  const auto no_regions = Play("calm", {placing_mechanism::kRegionPlan});
  CHECK(Share(with.between_domains, with.bytes) <
        Share(no_domains.between_domains, no_domains.bytes) / 2);
  CHECK(Share(with.between_regions, with.bytes) <
        Share(no_regions.between_regions, no_regions.bytes) / 2);
}
