// Simulates the enforcement of team limits in a fleet with each mechanism.
//   bench_limits [--seeds=N]
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <algorithm>

#include "limits/limit_run.h"

ABSL_FLAG(int, seeds, 3, "number of seeds per scenario, counted from 1");

namespace samphire {

namespace {

limit_report Sum(const limit_scenario& scenario, limit_mechanism mechanism) {
  limit_report all;
  for (int seed = 1; seed <= absl::GetFlag(FLAGS_seeds); ++seed) {
    const auto one =
        RunLimitScenario(scenario, mechanism, static_cast<std::uint64_t>(seed));
    all.requests += one.requests;
    all.conforming += one.conforming;
    all.conforming_refused += one.conforming_refused;
    all.hot_conforming += one.hot_conforming;
    all.hot_granted += one.hot_granted;
    all.worst_window = std::max(all.worst_window, one.worst_window);
    all.messages += one.messages;
    all.inter_region_messages += one.inter_region_messages;
  }
  return all;
}

void PrintRow(const limit_scenario& scenario, limit_mechanism mechanism) {
  const auto report = Sum(scenario, mechanism);
  const auto requests = static_cast<double>(report.requests);
  fmt::print("{:14} {:16} {:8} {:10.4f} {:10.3f} {:10.3f} {:10.2f} {:10.2f}\n",
             scenario.name, NameOf(kLimitMechanismNames, mechanism),
             report.requests, report.refused_share(), report.hot_share(),
             report.worst_window,
             static_cast<double>(report.messages) / requests,
             static_cast<double>(report.inter_region_messages) / requests);
}

}  // namespace

}  // namespace samphire

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  fmt::print("{:14} {:16} {:>8} {:>10} {:>10} {:>10} {:>10} {:>10}\n",
             "scenario", "mechanism", "requests", "refused", "hot", "window",
             "messages", "regions");
  for (const auto& scenario : samphire::kLimitScenarios) {
    for (const auto& [mechanism, name] : samphire::kLimitMechanismNames)
      samphire::PrintRow(scenario, mechanism);
  }
  return 0;
}
