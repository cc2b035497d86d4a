// Simulates how one region admits, queues and places requests under load, in
// simulated time, and compares the result with simpler strategies on the same
// requests. Prints one table row, or one JSON line, for each run. The output
// depends on the flags alone.
//   bench_decisions [--json] [--only=NAME] [--seconds=N] [--seed=N]
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <chrono>
#include <string>
#include <vector>

#include "decisions/region_run.h"
#include "decisions/run_report.h"

ABSL_FLAG(bool,
          json,
          false,
          "print one JSON line per run instead of the table");
ABSL_FLAG(std::string,
          only,
          "",
          "run only the scenarios whose names contain this text");
ABSL_FLAG(int, seconds, 120, "simulated length of each run, in seconds");
ABSL_FLAG(std::uint64_t,
          seed,
          20261202,
          "seed of the random generators, the same for all runs");

namespace samphire {

namespace {

// Compared under each load. kOneEntry is a reference for the loss of a region
// only.
constexpr strategy kComparedStrategies[] = {
    strategy::kCentralQueue, strategy::kRoundRobin, strategy::kRandom,
    strategy::kStaticShares, strategy::kLoans};

// Every combination of load, skew between entries and strategy.
std::vector<scenario> LoadAndSkewScenarios() {
  std::vector<scenario> all;
  for (const double load : {0.6, 0.8, 0.9, 1.5, 3.0}) {
    for (const double share : {0.25, 0.55}) {
      for (const auto each : kComparedStrategies) {
        scenario made;
        made.name = "load and skew";
        made.strategy = each;
        made.load = load;
        made.busiest_share = share;
        all.push_back(made);
      }
    }
  }
  return all;
}

// Adds the scenario once for each of kComparedStrategies.
void AddForComparedStrategies(std::vector<scenario>& all, scenario base) {
  for (const auto each : kComparedStrategies) {
    base.strategy = each;
    all.push_back(base);
  }
}

scenario ScenarioNamed(const char* name, double load, double share) {
  scenario made;
  made.name = name;
  made.load = load;
  made.busiest_share = share;
  return made;
}

// A slow target, lost messages between lenders and borrowers, stale gossip.
void AddFaults(std::vector<scenario>& all) {
  auto slow = ScenarioNamed("one target 10 times as slow", 0.6, 0.25);
  slow.slow_factor = 10;
  AddForComparedStrategies(all, slow);
  slow.name = "slow target says it is idle";
  slow.misleading_hints = true;
  slow.strategy = strategy::kLoans;
  all.push_back(slow);
  auto lossy = ScenarioNamed("5% of loan messages lost", 0.8, 0.55);
  lossy.loan_message_loss = 0.05;
  all.push_back(lossy);
  for (const int lag : {50, 1000}) {
    auto lagging = ScenarioNamed("gossip lags", 0.8, 0.55);
    lagging.name += fmt::format(" {} ms", lag);
    lagging.gossip_lag = std::chrono::milliseconds(lag);
    all.push_back(lagging);
  }
}

// Bursts, service time distributions, bulk work, priorities and deadlines.
void AddMixes(std::vector<scenario>& all) {
  auto burst = ScenarioNamed("bursts of 3 times the load", 0.6, 0.55);
  burst.burst_factor = 3;
  AddForComparedStrategies(all, burst);
  auto exponential_work = ScenarioNamed("exponential work", 0.8, 0.55);
  exponential_work.exponential_service = true;
  AddForComparedStrategies(all, exponential_work);
  all.push_back(ScenarioNamed("without bulk", 0.6, 0.25));
  auto bulk = ScenarioNamed("with bulk of 0.3", 0.6, 0.25);
  bulk.bulk_load = 0.3;
  all.push_back(bulk);
  auto priorities = ScenarioNamed("20% high, 40% low priority", 1.5, 0.55);
  priorities.high_priority_share = 0.2;
  priorities.low_priority_share = 0.4;
  all.push_back(priorities);
  for (const auto order : {queue_order::kArrival, queue_order::kDeadline}) {
    auto mixed = ScenarioNamed("30% hurried, order of", 1.2, 0.25);
    mixed.name += fmt::format(" {}", NameOf(kQueueOrderNames, order));
    mixed.short_deadline_share = 0.3;
    mixed.order = order;
    all.push_back(mixed);
  }
}

// One of three regions with a load of 60% each is lost, so that half of its
// load arrives in this one. Varies the cap on shifted requests in flight.
void AddRegionLoss(std::vector<scenario>& all) {
  for (const std::uint32_t max_in_flight : {4U, 8U, 24U}) {
    auto lost = ScenarioNamed("region lost, cap", 0.6, 0.25);
    lost.name += fmt::format(" {}", max_in_flight);
    lost.shifted_load = 0.3;
    lost.cap = shift_cap{"lost", "home", max_in_flight, 2, 0.5};
    for (const auto each : {strategy::kOneEntry, strategy::kLoans}) {
      lost.strategy = each;
      all.push_back(lost);
    }
  }
}

}  // namespace

}  // namespace samphire

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  using namespace samphire;
  auto all = LoadAndSkewScenarios();
  AddFaults(all);
  AddMixes(all);
  AddRegionLoss(all);
  const bool json = absl::GetFlag(FLAGS_json);
  if (!json)
    fmt::print("{}", TableHead());
  for (auto& each : all) {
    if (each.name.find(absl::GetFlag(FLAGS_only)) == std::string::npos)
      continue;
    each.length = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    each.seed = absl::GetFlag(FLAGS_seed);
    const auto report = RunRegion(each);
    fmt::print("{}{}", json ? JsonLine(report) : TableRow(report),
               json ? "\n" : "");
  }
  return 0;
}
