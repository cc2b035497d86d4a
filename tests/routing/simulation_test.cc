#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "routing/sim_run.h"

using namespace samphire;

namespace {

constexpr std::uint64_t kSeeds = 5;

sim_scenario Scenario(const std::string& name) {
  const auto all = SimScenarios();
  const auto found =
      std::find_if(all.begin(), all.end(),
                   [&](const auto& each) { return each.name == name; });
  REQUIRE(found != all.end());
  return *found;
}

// Sums over all seeds.
struct sim_sum {
  sim_tally all;
  double bytes = 0;
  double between_domains = 0;
  double between_regions = 0;
};

sim_sum RunScenario(const std::string& name,
                    const mechanism_set& disabled = {}) {
  auto scenario = Scenario(name);
  scenario.disabled = disabled;
  sim_sum sum;
  for (scenario.seed = 1; scenario.seed <= kSeeds; ++scenario.seed) {
    const auto report = RunSimulation(scenario);
    sum.all.requests += report.all.requests;
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

// Returns the payoff that callers lose if a mechanism is disabled.
double PayoffGain(placement_mechanism mechanism, const std::string& scenario) {
  return RunScenario(scenario).all.payoff() -
         RunScenario(scenario, {mechanism}).all.payoff();
}

double Share(double part, double all) {
  return all == 0 ? 0 : part / all;
}

}  // namespace

TEST_CASE("a simulation is deterministic, and each request ends once") {
  const auto scenario = Scenario("slow-and-burst");
  const auto one = RunSimulation(scenario);
  const auto two = RunSimulation(scenario);
  CHECK(one.all.in_time == two.all.in_time);
  CHECK(one.bytes_between_regions == two.bytes_between_regions);
  CHECK(one.all.requests > 1000);
  CHECK(one.all.in_time + one.all.late + one.all.refused + one.all.failed ==
        one.all.requests);
}

// Guards against callers that wait with hundreds of others until they time out.
// An installation starts under more load than its targets can bear before they
// have any key in memory. If the excess is refused at once, callers retry at
// targets that have their keys in memory.
TEST_CASE("few requests fail or are refused after a start under full load") {
  const auto start = RunScenario("cold-start").all;
  CHECK(Share(start.failed, start.requests) < 0.01);
  CHECK(Share(start.refused, start.requests) < 0.05);
}

// No fault is active, and there is capacity for all requests.
TEST_CASE("without faults hardly any request is refused and none fails") {
  const auto calm = RunScenario("calm").all;
  CHECK(Share(calm.refused, calm.requests) < 0.001);
  CHECK(calm.failed == 0);
}

// Guards against a target that fails six of ten requests for twenty seconds,
// though it reports itself healthy. Receipts sent there may have run, so they
// are not sent again and their callers get a failure. A target that is avoided
// fails only the requests that reveal it.
TEST_CASE("a target that keeps failing is detected and avoided") {
  const auto with = RunScenario("failing-long").all;
  const auto without =
      RunScenario("failing-long", {placement_mechanism::kPartialFailures}).all;
  CHECK(Share(with.failed, with.requests) <
        Share(without.failed, without.requests) / 3);
}

// Guards against mechanisms that callers don't benefit from under the load they
// are designed for, which would only cost code, tests and time.
TEST_CASE(
    "each mechanism improves the payoff under the load it is designed for") {
  CHECK(PayoffGain(placement_mechanism::kKeyMemory, "burst") > 0);
  CHECK(PayoffGain(placement_mechanism::kIdleShare, "cold-start") > 0);
  CHECK(PayoffGain(placement_mechanism::kWaitForecast, "cold-start") > 0);
  CHECK(PayoffGain(placement_mechanism::kPeerLoad, "cold-start") > 0);
  CHECK(PayoffGain(placement_mechanism::kSlowness, "slow-long") > 0);
  CHECK(PayoffGain(placement_mechanism::kEjection, "dark-most") > 0);
  CHECK(PayoffGain(placement_mechanism::kPartialFailures, "failing-long") > 0);
}

// Guards against queues that no entry observes. Sixty entries of a region share
// its callers, so each one sends to a target once in half a minute and sees
// nothing of its queue. Requests whose key's target is full wait there while
// targets nearby are idle.
TEST_CASE("in a large fleet, key owners prevent waits in unobserved queues") {
  auto scenario = Scenario("fleet");
  scenario.length = milliseconds{15'000};
  const auto with = RunSimulation(scenario).all;
  scenario.disabled = {placement_mechanism::kKeyOwner};
  const auto without = RunSimulation(scenario).all;
  CHECK(with.payoff() > without.payoff() + 0.03);
  CHECK(Share(with.late - with.late_cold, with.requests) <
        Share(without.late - without.late_cold, without.requests) * 0.7);
}

// Guards against refusals to callers whose planned target is full while another
// region has free capacity.
TEST_CASE("a target of any region relieves a planned one that is full") {
  const auto with = RunScenario("slow-targets").all;
  const auto without =
      RunScenario("slow-targets", {placement_mechanism::kOtherTarget}).all;
  CHECK(Share(with.refused, with.requests) <
        Share(without.refused, without.requests) / 2);
}

// The operator pays for traffic between regions, and above all between failure
// domains.
TEST_CASE("plans halve the traffic between domains and between regions") {
  const auto with = RunScenario("calm");
  const auto no_domains =
      RunScenario("calm", {placement_mechanism::kDomainPlan});
  const auto no_regions =
      RunScenario("calm", {placement_mechanism::kRegionPlan});
  CHECK(Share(with.between_domains, with.bytes) <
        Share(no_domains.between_domains, no_domains.bytes) / 2);
  CHECK(Share(with.between_regions, with.bytes) <
        Share(no_regions.between_regions, no_regions.bytes) / 2);
}
