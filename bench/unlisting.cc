// Measures how long look-ups go on naming entries that have ended, how often
// they leave out entries that serve, and what that costs each node, from a
// small site to a large fleet. Simulates time on one thread. Prints JSON, one
// line for each fleet and rule of listing.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>
#include <vector>

#include "membership/membership_core.h"
#include "membership_fleet.h"

ABSL_FLAG(int, max_nodes, 2800, "skips fleets with more nodes");
ABSL_FLAG(int, min_nodes, 0, "skips fleets with fewer nodes");
ABSL_FLAG(int, settle_s, 60, "simulated seconds before the measurement");
ABSL_FLAG(int, measure_s, 60, "simulated seconds of each measurement");
ABSL_FLAG(int, losses, 5, "losses of one entry and of half a region each");
ABSL_FLAG(int, probe_interval_ms, 1000, "time between probes of one entry");

namespace samphire {
namespace {

using std::chrono::seconds;

constexpr double kLoss = 0.1;
constexpr auto kLimit = seconds(120);

// Which members look-ups name.
enum class listing_rule { kAliveAndSuspected, kAlive };
constexpr std::array kRules = {
    std::pair(listing_rule::kAliveAndSuspected, "alive and suspected"),
    std::pair(listing_rule::kAlive, "alive"),
};

bool IsNamed(const node& at, const node& subject, listing_rule rule) {
  const auto* known = at.core->table().Find(subject.name);
  if (known == nullptr)
    return false;
  return known->state == member_state::kAlive ||
         (rule == listing_rule::kAliveAndSuspected &&
          known->state == member_state::kSuspect);
}

// Traffic in bytes and messages a second and node; times in seconds.
struct traffic {
  double sent = 0;
  double sent_max = 0;
  double messages = 0;
};

traffic MeasureTraffic(fleet& all, duration time) {
  all.ResetCounts();
  all.Run(time);
  const auto length = std::chrono::duration<double>(time).count();
  traffic result;
  const auto count = static_cast<double>(all.nodes().size());
  for (const auto& each : all.nodes()) {
    const auto sent = static_cast<double>(each.sent_bytes) / length;
    result.sent += sent / count;
    result.sent_max = std::max(result.sent_max, sent);
    result.messages += static_cast<double>(each.messages) / length / count;
  }
  return result;
}

// The most and the mean of some times.
struct times {
  double most = 0;
  double sum = 0;
  int count = 0;

  void Add(double time) {
    most = std::max(most, time);
    sum += time;
    ++count;
  }
  double mean() const { return count == 0 ? 0 : sum / count; }
};

std::vector<std::size_t> RunningInRegion(const fleet& all, int region) {
  std::vector<std::size_t> running;
  for (std::size_t i = 0; i < all.nodes().size(); ++i) {
    if (all.nodes()[i].up && all.nodes()[i].region == region)
      running.push_back(i);
  }
  return running;
}

// Ends `lost` nodes of one region and returns, for each rule, the time until no
// other node of it names them.
std::array<double, kRules.size()> TimesUntilUnnamed(
    fleet& all,
    const std::vector<std::size_t>& lost) {
  const auto region = all.nodes()[lost.front()].region;
  for (const auto index : lost)
    all.nodes()[index].up = false;
  const auto start = all.now();
  std::array<double, kRules.size()> unnamed{};
  const auto any_named = [&](listing_rule rule) {
    const auto running = RunningInRegion(all, region);
    return std::ranges::any_of(running, [&](std::size_t at) {
      return std::ranges::any_of(lost, [&](std::size_t subject) {
        return IsNamed(all.nodes()[at], all.nodes()[subject], rule);
      });
    });
  };
  while (all.now() - start < kLimit) {
    all.Run(kTickInterval);
    const auto passed =
        std::chrono::duration<double>(all.now() - start).count();
    bool done = true;
    for (std::size_t i = 0; i < kRules.size(); ++i) {
      if (any_named(kRules[i].first)) {
        unnamed[i] = passed;
        done = false;
      }
    }
    if (done)
      break;
  }
  return unnamed;
}

// Shares of the pairs of running nodes of a region of which one leaves out the
// other, by rule, and the number of nodes held for dead by any other.
struct omissions {
  std::array<double, kRules.size()> share{};
  int deaths = 0;
};

omissions MeasureOmissions(fleet& all, duration time) {
  omissions result;
  double pairs = 0;
  std::array<double, kRules.size()> omitted{};
  std::vector<bool> dead(all.nodes().size());
  const auto end = all.now() + time;
  while (all.now() < end) {
    all.Run(seconds(1));
    for (const auto& at : all.nodes()) {
      for (std::size_t i = 0; i < all.nodes().size(); ++i) {
        const auto& subject = all.nodes()[i];
        if (!at.up || !subject.up || at.region != subject.region)
          continue;
        ++pairs;
        for (std::size_t rule = 0; rule < kRules.size(); ++rule)
          omitted[rule] += IsNamed(at, subject, kRules[rule].first) ? 0 : 1;
        const auto* known = at.core->table().Find(subject.name);
        dead[i] = dead[i] ||
                  (known != nullptr && known->state == member_state::kDead);
      }
    }
  }
  for (std::size_t rule = 0; rule < kRules.size(); ++rule)
    result.share[rule] = omitted[rule] / pairs;
  result.deaths = static_cast<int>(std::ranges::count(dead, true));
  return result;
}

void Measure(int nodes, int regions) {
  membership_options options;
  options.probe_interval = milliseconds(absl::GetFlag(FLAGS_probe_interval_ms));
  fleet all(nodes, regions, options);
  const auto time = seconds(absl::GetFlag(FLAGS_measure_s));
  all.Run(seconds(absl::GetFlag(FLAGS_settle_s)));
  const auto calm = MeasureTraffic(all, time);
  all.SetLoss(kLoss);
  const auto lossy = MeasureTraffic(all, time);
  const auto omitted = MeasureOmissions(all, time);
  all.SetLoss(0);
  all.Run(seconds(30));
  std::array<times, kRules.size()> one;
  std::array<times, kRules.size()> half;
  const auto losses = std::min(absl::GetFlag(FLAGS_losses), regions);
  for (int region = 0; region < losses; ++region) {
    auto running = RunningInRegion(all, region);
    const auto first = TimesUntilUnnamed(all, {running[running.size() / 3]});
    all.Run(seconds(20));
    running = RunningInRegion(all, region);
    running.resize((running.size() + 1) / 2);
    const auto many = TimesUntilUnnamed(all, running);
    all.Run(seconds(20));
    for (std::size_t rule = 0; rule < kRules.size(); ++rule) {
      one[rule].Add(first[rule]);
      half[rule].Add(many[rule]);
    }
  }
  for (std::size_t rule = 0; rule < kRules.size(); ++rule) {
    fmt::print(R"({{"nodes":{},"regions":{},"rule":"{}","one_lost_s":{:.1f},)"
               R"("one_lost_s_most":{:.1f},"half_lost_s":{:.1f},)"
               R"("half_lost_s_most":{:.1f},"omitted_percent_at_loss":{:.3f},)"
               R"("false_deaths_at_loss":{},"sent_bytes_per_s":{:.0f},)"
               R"("sent_bytes_per_s_most":{:.0f},"messages_per_s":{:.2f},)"
               R"("sent_bytes_per_s_at_loss":{:.0f},)"
               R"("messages_per_s_at_loss":{:.2f}}})"
               "\n",
               nodes, regions, kRules[rule].second, one[rule].mean(),
               one[rule].most, half[rule].mean(), half[rule].most,
               100 * omitted.share[rule], omitted.deaths, calm.sent,
               calm.sent_max, calm.messages, lossy.sent, lossy.messages);
  }
  std::fflush(stdout);
}

int Main() {
  constexpr std::pair<int, int> kFleets[] = {
      {10, 3}, {73, 3}, {300, 6}, {2800, 24}};
  for (const auto& [nodes, regions] : kFleets) {
    if (nodes <= absl::GetFlag(FLAGS_max_nodes) &&
        nodes >= absl::GetFlag(FLAGS_min_nodes)) {
      Measure(nodes, regions);
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
