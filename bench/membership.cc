// Measures the cost of membership per node, and how fast updates spread, from a
// small site to a large fleet. Simulates time on one thread. Only the processor
// time depends on the machine, and no bound is checked for it. Prints JSON;
// exits with 1 if a bound on bytes or on simulated time is exceeded.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "line_fit.h"
#include "membership/membership_core.h"
#include "membership_fleet.h"
#include "peer/envelope_codec.h"

ABSL_FLAG(int, max_nodes, 2800, "skips fleets with more nodes");
ABSL_FLAG(int, min_nodes, 0, "skips fleets with fewer nodes");
ABSL_FLAG(int, settle_s, 120, "simulated seconds before the measurement");
ABSL_FLAG(int, measure_s, 60, "simulated seconds of the measurement");

namespace samphire {
namespace {

using std::chrono::seconds;

constexpr double kMaxBytesPerSecond = 2048;

double CpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Result for one fleet. Times are in seconds of simulated time, traffic is in
// bytes and messages per second and node.
struct measurement {
  int nodes = 0;
  int regions = 0;
  double sent = 0;
  double sent_max = 0;
  double received_max = 0;
  double messages = 0;
  double cpu_percent = 0;
  double members_missing = 0;
  double regions_missing = 0;
  double load_age_mean_s = 0;
  double region_age_mean_s = 0;
  double region_age_max_s = 0;
  double detect_s = 0;
  double config_from_watchers_s = 0;
  double config_from_one_s = 0;
};

void MeasureTraffic(fleet& all, measurement& result) {
  const auto time = seconds(absl::GetFlag(FLAGS_measure_s));
  all.ResetCounts();
  const double cpu = CpuSeconds();
  all.Run(time);
  const auto spent = CpuSeconds() - cpu;
  const auto length = static_cast<double>(time.count());
  for (const auto& each : all.nodes()) {
    const auto sent = static_cast<double>(each.sent_bytes) / length;
    const auto received = static_cast<double>(each.received_bytes) / length;
    result.sent += sent / result.nodes;
    result.messages +=
        static_cast<double>(each.messages) / length / result.nodes;
    result.sent_max = std::max(result.sent_max, sent);
    result.received_max = std::max(result.received_max, received);
  }
  result.cpu_percent = 100 * spent / length / result.nodes;
}

// Returns the mean age in seconds of the loads that nodes know of each other.
// Each node updates its digest once a second, so differences of sequence
// numbers are seconds.
double MeanLoadAge(fleet& all) {
  std::map<std::string, std::uint32_t> present;
  for (const auto& each : all.nodes())
    present[each.name] = each.core->table().self().digest.sequence;
  double ages = 0;
  double count = 0;
  for (const auto& each : all.nodes()) {
    for (const auto& [name, known] : each.core->table().other_members()) {
      ages += present[name] - known.digest.sequence;
      ++count;
    }
  }
  return ages / count;
}

void MeasureKnowledge(fleet& all, measurement& result) {
  result.load_age_mean_s = MeanLoadAge(all);
  double ages = 0;
  int known = 0;
  for (const auto& each : all.nodes()) {
    const auto expected =
        (result.nodes - each.region + result.regions - 1) / result.regions;
    result.members_missing +=
        expected -
        static_cast<double>(each.core->table().AliveMembers().size());
    result.regions_missing +=
        result.regions - 1 -
        static_cast<double>(each.core->regions().digests().size());
    for (const auto& [region, digest] : each.core->regions().digests()) {
      const auto age =
          static_cast<double>(each.core->WallMs(all.now()) - digest.as_of) /
          1000;
      ages += age;
      ++known;
      result.region_age_max_s = std::max(result.region_age_max_s, age);
    }
  }
  result.region_age_mean_s = known == 0 ? 0 : ages / known;
}

measurement Measure(int nodes, int regions) {
  fleet all(nodes, regions);
  measurement result{nodes, regions};
  all.Run(seconds(absl::GetFlag(FLAGS_settle_s)));
  MeasureTraffic(all, result);
  MeasureKnowledge(all, result);
  // Nodes are assigned to the regions in rotation: these are two of each
  // region.
  const auto watchers = std::min(2 * regions, nodes);
  for (std::size_t i = 0; i < static_cast<std::size_t>(watchers); ++i)
    all.SetConfig(i, 2);
  result.config_from_watchers_s =
      all.RunUntil([&] { return all.AllHaveConfig(2); }, seconds(300));
  all.SetConfig(all.nodes().size() - 1, 3);
  result.config_from_one_s =
      all.RunUntil([&] { return all.AllHaveConfig(3); }, seconds(300));
  constexpr int kCrashes = 3;
  for (int crash = 0; crash < kCrashes; ++crash) {
    const auto subject =
        static_cast<std::size_t>((crash + 1) * std::max(1, nodes / 5));
    all.nodes()[subject].up = false;
    result.detect_s +=
        all.RunUntil([&] { return all.DeclaredDeadByRegion(subject); },
                     seconds(300)) /
        kCrashes;
  }
  return result;
}

void Print(const measurement& p) {
  fmt::print(
      R"({{"nodes":{},"regions":{},"sent_bytes_per_s":{:.0f},)"
      R"("sent_bytes_per_s_most":{:.0f},"received_bytes_per_s_most":{:.0f},)"
      R"("messages_per_s":{:.2f},"cpu_percent_of_core":{:.4f},)"
      R"("members_missing":{:.0f},"regions_missing":{:.0f},)"
      R"("load_age_mean_s":{:.1f},)"
      R"("region_age_mean_s":{:.1f},"region_age_most_s":{:.1f},)"
      R"("detect_s":{:.1f},"config_from_watchers_s":{:.1f},)"
      R"("config_from_one_s":{:.1f}}})"
      "\n",
      p.nodes, p.regions, p.sent, p.sent_max, p.received_max, p.messages,
      p.cpu_percent, p.members_missing, p.regions_missing, p.load_age_mean_s,
      p.region_age_mean_s, p.region_age_max_s, p.detect_s,
      p.config_from_watchers_s, p.config_from_one_s);
  std::fflush(stdout);
}

// Returns the processor time for sealing and opening a datagram of usual size,
// which the simulation leaves out.
double SignAndVerifyMicroseconds() {
  const auto keys =
      peer_keys::Parse("0123456789abcdef0123456789abcdef").value();
  peer_envelope envelope;
  envelope.sender = "entry-00000";
  envelope.payload.assign(350, 'x');
  constexpr int kRounds = 20'000;
  const double cpu = CpuSeconds();
  int opened = 0;
  for (int i = 0; i < kRounds; ++i) {
    const auto datagram = SignEnvelope(envelope, "10.0.0.1:7000", keys);
    opened += VerifyEnvelope(datagram.value(), "10.0.0.1:7000", keys) ? 1 : 0;
  }
  return opened == kRounds ? (CpuSeconds() - cpu) * 1e6 / kRounds : 0;
}

int Main() {
  bool within_bounds = true;
  std::vector<std::pair<double, double>> bytes;
  std::vector<std::pair<double, double>> cpu;
  constexpr std::pair<int, int> kFleets[] = {{10, 3},  {40, 3},    {120, 3},
                                             {300, 6}, {1000, 12}, {2800, 24}};
  for (const auto& [nodes, regions] : kFleets) {
    if (nodes > absl::GetFlag(FLAGS_max_nodes) ||
        nodes < absl::GetFlag(FLAGS_min_nodes)) {
      continue;
    }
    const auto p = Measure(nodes, regions);
    Print(p);
    bytes.emplace_back(nodes, p.sent);
    cpu.emplace_back(nodes, p.cpu_percent);
    within_bounds = within_bounds && p.sent_max < kMaxBytesPerSecond &&
                    p.received_max < kMaxBytesPerSecond &&
                    p.members_missing == 0 && p.regions_missing == 0 &&
                    p.region_age_max_s < 120 && p.config_from_watchers_s < 9 &&
                    p.detect_s < 30;
  }
  fmt::print(R"({{"seal_and_open_us":{:.1f}}})"
             "\n",
             SignAndVerifyMicroseconds());
  for (const auto& [name, points] :
       {std::pair("sent_bytes_per_s by nodes", &bytes),
        std::pair("cpu_percent by nodes", &cpu)}) {
    if (points->size() < 2)
      continue;
    const auto fit = FitLine(*points);
    fmt::print(
        R"({{"fit":"{}","slope":{:.6f},"start":{:.4f},"worst_residual":{:.2f}}})"
        "\n",
        name, fit.slope, fit.intercept, fit.max_relative_residual);
  }
  return within_bounds ? 0 : 1;
}

}  // namespace
}  // namespace samphire

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return samphire::Main();
}
