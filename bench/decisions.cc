// Simulates a region's decisions under load and compares them with baselines.
//   bench_decisions [--json] [--only=NAME] [--seconds=N] [--seed=N]
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <chrono>
#include <string>
#include <vector>

#include "decisions/region_run.h"
#include "decisions/run_report.h"

ABSL_FLAG(bool, json, false, "one JSON line a run in place of the table");
ABSL_FLAG(std::string, only, "", "run only scenarios whose name holds this");
ABSL_FLAG(int, seconds, 120, "simulated seconds of each run");
ABSL_FLAG(std::uint64_t, seed, 20261202, "seed of all runs");

namespace samphire {

namespace {

constexpr strategy kAll[] = {strategy::kCentralQueue, strategy::kRoundRobin,
                             strategy::kRandom, strategy::kStaticShares,
                             strategy::kLoans};

std::vector<scenario> LoadAndSkew() {
  std::vector<scenario> all;
  for (const double load : {0.6, 0.8, 0.9, 1.5, 3.0}) {
    for (const double share : {0.25, 0.55}) {
      for (const auto each : kAll) {
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

// The same scenario under each strategy.
void AddForAll(std::vector<scenario>& all, scenario base) {
  for (const auto each : kAll) {
    base.strategy = each;
    all.push_back(base);
  }
}

scenario Named(const char* name, double load, double share) {
  scenario made;
  made.name = name;
  made.load = load;
  made.busiest_share = share;
  return made;
}

void AddFaults(std::vector<scenario>& all) {
  auto slow = Named("one target 10 times as slow", 0.6, 0.25);
  slow.slow_factor = 10;
  AddForAll(all, slow);
  slow.name = "slow target says it is idle";
  slow.misleading_hints = true;
  slow.strategy = strategy::kLoans;
  all.push_back(slow);
  auto lossy = Named("5% of loan messages lost", 0.8, 0.55);
  lossy.message_loss = 0.05;
  all.push_back(lossy);
  for (const int lag : {50, 1000}) {
    auto lagging = Named("gossip lags", 0.8, 0.55);
    lagging.name += fmt::format(" {} ms", lag);
    lagging.gossip_lag = std::chrono::milliseconds(lag);
    all.push_back(lagging);
  }
}

void AddMixes(std::vector<scenario>& all) {
  auto burst = Named("bursts of 3 times the load", 0.6, 0.55);
  burst.burst_factor = 3;
  AddForAll(all, burst);
  auto heavy = Named("exponential work", 0.8, 0.55);
  heavy.exponential = true;
  AddForAll(all, heavy);
  all.push_back(Named("without bulk", 0.6, 0.25));
  auto bulk = Named("with bulk of 0.3", 0.6, 0.25);
  bulk.bulk_load = 0.3;
  all.push_back(bulk);
  auto ranks = Named("20% high, 40% low priority", 1.5, 0.55);
  ranks.high_part = 0.2;
  ranks.low_part = 0.4;
  all.push_back(ranks);
  for (const auto order : {queue_order::kArrival, queue_order::kDeadline}) {
    auto mixed = Named("30% hurried, order of", 1.2, 0.25);
    mixed.name += fmt::format(" {}", NameOf(kQueueOrderNames, order));
    mixed.hurried_part = 0.3;
    mixed.order = order;
    all.push_back(mixed);
  }
}

// One of three regions at 60% is lost: half its load comes here.
void AddRegionLoss(std::vector<scenario>& all) {
  for (const std::uint32_t most : {4U, 8U, 24U}) {
    auto lost = Named("region lost, cap", 0.6, 0.25);
    lost.name += fmt::format(" {}", most);
    lost.shifted_load = 0.3;
    lost.cap = shift_cap{"lost", "home", most, 2, 0.5};
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
  auto all = LoadAndSkew();
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
