// Runs placement scenarios under load and prints the results for callers.
//   bench_routing [--only=NAME] [--seeds=N] [--without=MECHANISM,...] [--each]
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

#include "routing/sim_run.h"

ABSL_FLAG(std::string, only, "", "run only scenarios whose name contains this");
ABSL_FLAG(int, seeds, 5, "number of seeds per scenario, counted from 1");
ABSL_FLAG(std::vector<std::string>, without, {}, "mechanisms to disable");
ABSL_FLAG(bool, each, false, "also run with each mechanism disabled in turn");

namespace samphire {

namespace {

// The mean and the standard deviation of a figure over several seeds.
struct spread {
  double mean = 0;
  double deviation = 0;
};

template <typename F>
spread Summarize(const std::vector<sim_report>& reports, F figure) {
  const auto count = static_cast<double>(reports.size());
  spread summary;
  for (const auto& report : reports)
    summary.mean += figure(report) / count;
  for (const auto& report : reports)
    summary.deviation += std::pow(figure(report) - summary.mean, 2) / count;
  summary.deviation = std::sqrt(summary.deviation);
  return summary;
}

double ShareOf(std::uint64_t part, std::uint64_t all) {
  return all == 0 ? 0 : static_cast<double>(part) / static_cast<double>(all);
}

void PrintHeader() {
  fmt::print(
      "{:16} {:18} {:>15} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} "
      "{:>7}\n",
      "scenario", "without", "payoff", "route", "domain", "second", "late",
      "cold", "refuse", "fail", "domains", "regions");
}

void PrintRow(const sim_scenario& scenario,
              const std::string& without,
              const std::vector<sim_report>& reports) {
  const auto payoff =
      Summarize(reports, [](const auto& r) { return r.all.payoff(); });
  const auto mean = [&](auto figure) {
    return Summarize(reports, figure).mean;
  };
  fmt::print(
      "{:16} {:18} {:.4f} +-{:.4f} {:6.3f} {:6.3f} {:6.3f} {:6.3f} {:6.3f} "
      "{:6.3f} {:6.3f} {:7.3f} {:7.3f}\n",
      scenario.name, without, payoff.mean, payoff.deviation,
      mean([](const auto& r) { return r.worst_route(); }),
      mean([](const auto& r) { return r.worst_domain(); }),
      mean([](const auto& r) { return r.worst_second(); }),
      mean([](const auto& r) { return ShareOf(r.all.late, r.all.requests); }),
      mean([](const auto& r) {
        return ShareOf(r.all.late_cold, r.all.requests);
      }),
      mean(
          [](const auto& r) { return ShareOf(r.all.refused, r.all.requests); }),
      mean([](const auto& r) { return ShareOf(r.all.failed, r.all.requests); }),
      mean([](const auto& r) {
        return ShareOf(r.bytes_between_domains, r.bytes);
      }),
      mean([](const auto& r) {
        return ShareOf(r.bytes_between_regions, r.bytes);
      }));
}

void RunScenario(sim_scenario scenario, const std::string& without) {
  std::vector<sim_report> reports;
  for (int seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
    scenario.seed = static_cast<std::uint64_t>(seed);
    reports.push_back(RunSimulation(scenario));
  }
  PrintRow(scenario, without, reports);
}

int Main() {
  const auto names = absl::GetFlag(FLAGS_without);
  const auto without = ParseMechanisms(names);
  if (!without) {
    fmt::print(stderr, "{}\n", without.error().detail);
    return 2;
  }
  fmt::print(
      "payoff: 1 in time, {} late, of all requests; worst route, domain "
      "and second; shares of requests and bytes\n",
      sim_tally::kLateValue);
  PrintHeader();
  for (auto scenario : SimScenarios()) {
    if (scenario.name.find(absl::GetFlag(FLAGS_only)) == std::string::npos)
      continue;
    scenario.disabled = without.value();
    RunScenario(scenario,
                names.empty() ? "-" : fmt::format("{}", fmt::join(names, ",")));
    if (!absl::GetFlag(FLAGS_each))
      continue;
    for (const auto& [mechanism, name] : kPlacementMechanismNames) {
      scenario.disabled = {mechanism};
      RunScenario(scenario, std::string(name));
    }
  }
  return 0;
}

}  // namespace

}  // namespace samphire

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return samphire::Main();
}
