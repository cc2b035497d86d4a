// Measures what a configuration change costs the platform and the peers, as a
// function of the number of client blocks and of the number of followers. Fails
// if a change costs more bytes or calls than its bound, or if the number of
// platform calls grows with the followers.
//
// bench_distribution [--most=BLOCKS] [--changes=N]
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>
#include <malloc.h>
#include <sys/resource.h>

#include <chrono>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "distribution/bench_declaration.h"
#include "distribution/config_follower.h"
#include "distribution/config_publisher.h"
#include "distribution/counting_store.h"
#include "distribution/local_peers.h"
#include "distribution/watcher_choice.h"
#include "line_fit.h"

ABSL_FLAG(std::uint32_t, most, 400'000, "the largest number of client blocks");
ABSL_FLAG(int, changes, 6, "changes measured at each size");

namespace samphire {

namespace {

// Bounds of the bytes and calls to publish one change, of the bytes that a
// watcher reads for it, and of the bytes of the update that an entry pulls.
constexpr double kMaxBytesPerChange = 60'000;
constexpr double kMaxCallsPerChange = 40;
constexpr double kMaxUpdateBytes = 4'000;
// Number of changes that precede the measured ones.
constexpr int kWarmUpChanges = 4;

double AllocatedBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

struct change_cost {
  double blocks = 0;
  traffic publish;
  // What one watcher reads, and below it what every other entry pulls.
  traffic watch;
  double update_bytes = 0;
  double publish_cpu = 0;
  double follow_cpu = 0;
  double first_calls = 0;
  double image_bytes = 0;
};

// With so few retained versions, the measured changes include the cost of
// collecting the chunks of old versions, as changes do in the long run.
publish_options Options() {
  auto options = DefaultPublishOptions();
  options.retained = kWarmUpChanges;
  return options;
}

// Steps the follower until it has the version.
void Follow(config_follower& follower, std::uint64_t version) {
  while (!follower.image() || follower.image()->version() < version)
    follower.Step();
}

std::unique_ptr<config_follower> NewFollower(counting_store& store,
                                             local_peers& peers,
                                             const clock_source& clock,
                                             metrics& registry) {
  return std::make_unique<config_follower>(store, peers, clock, registry,
                                           follower_limits(),
                                           [](const image_ptr&) {});
}

change_cost MeasureSize(std::uint32_t blocks) {
  const system_clock_source clock;
  metrics registry;
  counting_store store;
  local_peers peers;
  config_publisher publisher(store, clock, registry, Options());
  auto declared = Declared(blocks, 100);
  change_cost cost;
  cost.blocks = blocks;
  static_cast<void>(publisher.Apply(declared, {"first", "ana", {}}).value());
  cost.first_calls = store.TakeCounts().calls;
  auto watcher = NewFollower(store, peers, clock, registry);
  watcher->SetWatching(true);
  watcher->WatchStep();
  const double before = AllocatedBytes();
  Follow(*watcher, 1);
  cost.image_bytes = AllocatedBytes() - before;
  peers.entries = {{"watcher", watcher.get()}};
  peers.nearest = "watcher";
  auto other = NewFollower(store, peers, clock, registry);
  Follow(*other, 1);
  const int changes = absl::GetFlag(FLAGS_changes);
  for (int n = 1 - kWarmUpChanges; n <= changes; ++n) {
    // One block moves to another region.
    const int step = n + kWarmUpChanges;
    const auto turn = static_cast<std::size_t>(step);
    declared.client_blocks[blocks / 9 * (turn % 9)].region =
        turn % 18 < 9 ? "galle" : "kandy";
    store.TakeCounts();
    double cpu = CpuSeconds();
    const auto version =
        publisher.Apply(declared, {fmt::format("id-{}", n), "ana", {}})
            .value()
            .version;
    const auto published = store.TakeCounts();
    const double publish_cpu = CpuSeconds() - cpu;
    watcher->WatchStep();
    Follow(*watcher, version);
    const auto watched = store.TakeCounts();
    cpu = CpuSeconds();
    other->OnPeerVersion("watcher", watcher->AdvertisedConfig());
    Follow(*other, version);
    if (n < 1)
      continue;
    cost.follow_cpu += (CpuSeconds() - cpu) / changes;
    cost.publish_cpu += publish_cpu / changes;
    cost.publish.calls += published.calls / changes;
    cost.publish.bytes += published.bytes / changes;
    cost.watch.calls += watched.calls / changes;
    cost.watch.bytes += watched.bytes / changes;
    cost.update_bytes += peers.update_bytes / changes;
  }
  return cost;
}

void PrintFit(const char* what,
              const std::vector<change_cost>& costs,
              double (*value)(const change_cost&)) {
  std::vector<std::pair<double, double>> points;
  points.reserve(costs.size());
  for (const auto& cost : costs)
    points.emplace_back(cost.blocks, value(cost));
  const auto fit = FitLine(points);
  fmt::print("{}: {:.1f} + {:.3f} per 1000 blocks, worst residual {:.1f}%\n",
             what, fit.intercept, fit.slope * 1000,
             fit.max_relative_residual * 100);
}

bool MeasureSizes() {
  const auto most = absl::GetFlag(FLAGS_most);
  std::vector<change_cost> costs;
  bool holds = true;
  fmt::print(
      "blocks    publish: calls  bytes  cpu_ms   watch: calls  bytes   pull: "
      "bytes  cpu_ms   first: calls   image_MB\n");
  for (const auto size : {most / 16, most / 4, most / 2, most}) {
    const auto cost = MeasureSize(size);
    fmt::print(
        "{:<12}{:>12.1f}{:>8.0f}{:>8.1f}{:>14.1f}{:>8.0f}{:>13.0f}{:>8.2f}"
        "{:>14.0f}{:>11.1f}\n",
        size, cost.publish.calls, cost.publish.bytes, cost.publish_cpu * 1000,
        cost.watch.calls, cost.watch.bytes, cost.update_bytes,
        cost.follow_cpu * 1000, cost.first_calls, cost.image_bytes / 1e6);
    holds = holds && cost.publish.bytes <= kMaxBytesPerChange &&
            cost.watch.bytes <= kMaxBytesPerChange &&
            cost.publish.calls <= kMaxCallsPerChange &&
            cost.update_bytes <= kMaxUpdateBytes;
    costs.push_back(cost);
  }
  PrintFit("bytes written and read to publish a change", costs,
           [](const auto& cost) { return cost.publish.bytes; });
  PrintFit("bytes a watcher reads for a change", costs,
           [](const auto& cost) { return cost.watch.bytes; });
  PrintFit("bytes an entry pulls for a change", costs,
           [](const auto& cost) { return cost.update_bytes; });
  PrintFit("bytes of an image in memory", costs,
           [](const auto& cost) { return cost.image_bytes; });
  PrintFit("ms of processor time to follow a change", costs,
           [](const auto& cost) { return cost.follow_cpu * 1000; });
  return holds;
}

// Measures a drain declared with this number of targets, that is, the cost of a
// change of the frame.
void MeasureDrain(int targets) {
  const system_clock_source clock;
  metrics registry;
  counting_store store;
  local_peers peers;
  config_publisher publisher(store, clock, registry);
  static_cast<void>(
      publisher.Apply(Declared(1000, targets), {"first", "ana", {}}).value());
  auto watcher = NewFollower(store, peers, clock, registry);
  Follow(*watcher, 1);
  peers.entries = {{"watcher", watcher.get()}};
  peers.nearest = "watcher";
  auto other = NewFollower(store, peers, clock, registry);
  Follow(*other, 1);
  store.TakeCounts();
  const drain planned{"d", drain_scope::kRegion, "galle",
                      clock.wall_now() + std::chrono::hours(1),
                      clock.wall_now() + std::chrono::hours(2)};
  static_cast<void>(publisher.AddDrain(planned, {"id-1", "ana", {}}).value());
  const auto published = store.TakeCounts();
  watcher->SetWatching(true);
  watcher->WatchStep();
  Follow(*watcher, 2);
  const double cpu = CpuSeconds();
  other->OnPeerVersion("watcher", watcher->AdvertisedConfig());
  Follow(*other, 2);
  fmt::print(
      "drain at {} targets: {} calls, {} bytes to publish; {} bytes pulled, "
      "{:.1f} ms of processor time to follow\n",
      targets, published.calls, published.bytes, peers.update_bytes,
      (CpuSeconds() - cpu) * 1000);
}

// Returns the platform calls that all followers of one region make for one
// change.
double CallsOfFollowers(std::size_t count) {
  const system_clock_source clock;
  metrics registry;
  counting_store store;
  local_peers peers;
  config_publisher publisher(store, clock, registry);
  auto declared = Declared(1000, 100);
  static_cast<void>(publisher.Apply(declared, {"first", "ana", {}}).value());
  std::vector<std::string> names;
  for (std::size_t n = 0; n < count; ++n)
    names.push_back(fmt::format("entry-{}", n));
  std::vector<std::unique_ptr<config_follower>> followers;
  std::vector<std::pair<config_follower*, bool>> roles;
  for (const auto& name : names) {
    followers.push_back(NewFollower(store, peers, clock, registry));
    auto& follower = *followers.back();
    const bool watches = IsWatcher(name, names);
    follower.SetWatching(watches);
    roles.emplace_back(&follower, watches);
    if (watches) {
      follower.WatchStep();
      peers.entries["watcher"] = &follower;
    }
    Follow(follower, 1);
  }
  declared.client_blocks[5].region = "galle";
  static_cast<void>(publisher.Apply(declared, {"id-1", "ana", {}}).value());
  store.TakeCounts();
  for (const auto& [follower, watches] : roles) {
    if (!watches)
      continue;
    follower->WatchStep();
    Follow(*follower, 2);
  }
  for (const auto& [follower, watches] : roles) {
    if (watches)
      continue;
    follower->OnPeerVersion("watcher",
                            peers.entries["watcher"]->AdvertisedConfig());
    Follow(*follower, 2);
  }
  return store.TakeCounts().calls;
}

bool MeasureFollowers() {
  std::vector<std::pair<double, double>> points;
  for (const std::size_t count : {4, 16, 64, 256}) {
    const auto calls = CallsOfFollowers(count);
    points.emplace_back(count, calls);
    fmt::print("{} followers: {} platform calls a change\n", count, calls);
  }
  const auto fit = FitLine(points);
  fmt::print("calls: {:.2f} + {:.4f} per follower, worst residual {:.1f}%\n",
             fit.intercept, fit.slope, fit.max_relative_residual * 100);
  return points.front().second == points.back().second;
}

}  // namespace

}  // namespace samphire

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Costs of a change of configuration.");
  absl::ParseCommandLine(argc, argv);
  samphire::ConfigureLog("bench", samphire::log_level::kWarning);
  const bool sizes = samphire::MeasureSizes();
  for (const int targets : {100, 1000, 4100})
    samphire::MeasureDrain(targets);
  const bool followers = samphire::MeasureFollowers();
  fmt::print("{}\n", sizes && followers ? "within bounds" : "OUT OF BOUNDS");
  return sizes && followers ? 0 : 1;
}
