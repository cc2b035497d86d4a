// Measures how many calls to the platform the ledger makes: per reservation as
// the load grows, as entries are added at a constant load, and when idle. The
// platform is simulated by a map with a latency of a few milliseconds. Prints
// JSON, and exits with status 1 if a bound is exceeded. The bounds apply to
// call counts, which don't depend on the speed of the machine.

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "base/system_clock_source.h"
#include "ledger/forward_server.h"
#include "ledger/ledger.h"
#include "ledger/peer_operation_forwarder.h"
#include "line_fit.h"
#include "membership/rendezvous.h"
#include "peer/udp_peer_transport.h"
#include "slow_store.h"

ABSL_FLAG(int,
          latency_ms,
          3,
          "simulated latency of a platform call in milliseconds");
ABSL_FLAG(int,
          seconds,
          3,
          "duration of the load for each measurement in seconds");

namespace samphire {
namespace {

// Threads that send reservations; an upper bound on those in flight.
constexpr int kThreads = 128;
constexpr std::uint32_t kShards = 8;

// Chooses leaders by rendezvous hashing among the entries of this process, or
// none if `names` is empty.
class bench_router final : public shard_router {
 public:
  std::string LeaderOf(std::uint32_t shard) const override {
    if (names.empty())
      return {};
    const auto role = fmt::format("ledger/{}", shard);
    const auto leader = PickByRendezvous(role, names, 1).front();
    return leader == self ? std::string() : addresses.at(leader);
  }
  std::string self;
  std::vector<std::string> names;
  std::map<std::string, std::string> addresses;
};

// The ledger of one entry, with forwarding over real datagrams.
struct bench_entry {
  bench_entry(const std::string& name, object_store& store)
      : transport("127.0.0.1:0",
                  name,
                  1,
                  peer_keys::Parse("0123456789abcdef0123456789abcdef").value(),
                  clock,
                  registry),
        forwarder(transport, clock, registry),
        local_ledger(store, router, clock, registry, Options(name), &forwarder),
        server(local_ledger, transport, clock, registry) {
    router.self = name;
    transport.Start();
  }
  static ledger_options Options(const std::string& name) {
    ledger_options options;
    options.self = {name, 1};
    options.shards = kShards;
    options.max_attempts = 50;
    return options;
  }

  system_clock_source clock;
  metrics registry;
  bench_router router;
  udp_peer_transport transport;
  peer_operation_forwarder forwarder;
  ledger local_ledger;
  forward_server server;
};

// The results at one combination of entries, rate and leaders.
struct point {
  bool use_leaders = false;
  int entries = 0;
  int rate = 0;
  int reserved = 0;
  int refused = 0;
  double calls_per_s = 0;
  double calls_per_reservation = 0;
  double written_per_reservation = 0;
  double p50_ms = 0;
  double p99_ms = 0;
  double idle_calls_per_s = 0;
};

// Totals over all threads; `lock` guards latencies_ms.
struct load_result {
  std::atomic<int> reserved{0};
  std::atomic<int> refused{0};
  std::mutex lock;
  std::vector<double> latencies_ms;
};

// Sends reservations at a total of `rate` per second on a fixed schedule,
// independent of how long the calls take (open loop).
void Load(std::vector<std::unique_ptr<bench_entry>>& entries,
          int rate,
          load_result& total) {
  const system_clock_source clock;
  const auto start = clock.now();
  const int count = rate * absl::GetFlag(FLAGS_seconds);
  std::atomic<int> next{0};
  std::vector<std::jthread> threads;
  threads.reserve(kThreads);
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&] {
      for (int i = next++; i < count; i = next++) {
        const auto due = start + std::chrono::microseconds(
                                     std::int64_t{1'000'000} * i / rate);
        std::this_thread::sleep_until(due);
        auto& entry =
            entries[static_cast<std::size_t>(i) % entries.size()]->local_ledger;
        const auto reserve_start = clock.now();
        const auto outcome =
            entry.Reserve({"claims-desk", fmt::format("key-{}", i), "digest",
                           reserve_start + milliseconds(5000)});
        const std::chrono::duration<double, std::milli> took =
            clock.now() - reserve_start;
        if (const auto* reservation = std::get_if<reserved>(&outcome)) {
          ++total.reserved;
          entry.Complete(reservation->ticket, {201, {}, "recorded"});
        } else {
          ++total.refused;
        }
        std::lock_guard guard(total.lock);
        total.latencies_ms.push_back(took.count());
      }
    });
  }
}

// Runs the load on `entry_count` entries, then counts calls while idle.
point Measure(bool use_leaders, int entry_count, int rate) {
  slow_store store{milliseconds(absl::GetFlag(FLAGS_latency_ms))};
  const system_clock_source clock;
  std::vector<std::unique_ptr<bench_entry>> entries;
  std::vector<std::string> names;
  std::map<std::string, std::string> addresses;
  for (int i = 0; i < entry_count; ++i) {
    const auto name = fmt::format("entry-{}", i);
    entries.push_back(std::make_unique<bench_entry>(name, store));
    // Makes the entry read the number of shards before the load starts.
    entries.back()->local_ledger.ShardFor("s", "k");
    names.push_back(name);
    addresses[name] = entries.back()->transport.address();
  }
  for (auto& entry : entries) {
    entry->router.addresses = addresses;
    if (use_leaders)
      entry->router.names = names;
  }
  load_result total;
  const auto start = clock.now();
  Load(entries, rate, total);
  const double elapsed =
      std::chrono::duration<double>(clock.now() - start).count();
  point measured{use_leaders, entry_count, rate, total.reserved, total.refused};
  measured.calls_per_s = store.calls() / elapsed;
  measured.calls_per_reservation =
      static_cast<double>(store.calls()) / total.reserved;
  measured.written_per_reservation =
      static_cast<double>(store.bytes()) / total.reserved;
  std::ranges::sort(total.latencies_ms);
  const auto quantile = [&](double share) {
    return total.latencies_ms[static_cast<std::size_t>(
        share * static_cast<double>(total.latencies_ms.size() - 1))];
  };
  measured.p50_ms = quantile(0.5);
  measured.p99_ms = quantile(0.99);
  const int before = store.calls();
  // Idle phase: one second in which no call to the platform is expected.
  for (int i = 0; i < 20; ++i) {
    for (auto& entry : entries)
      entry->local_ledger.RetryPending();
    std::this_thread::sleep_for(milliseconds(50));
  }
  measured.idle_calls_per_s = store.calls() - before;
  return measured;
}

// Prints one measurement as a line of JSON.
void Print(const point& measured) {
  fmt::print(
      R"({{"leaders":{},"entries":{},"rate":{},"reserved":{},"refused":{},)"
      R"("calls_per_s":{:.0f},"calls_per_reservation":{:.2f},)"
      R"("written_bytes_per_reservation":{:.0f},"p50_ms":{:.1f},)"
      R"("p99_ms":{:.1f},"idle_calls_per_s":{:.0f}}})"
      "\n",
      measured.use_leaders, measured.entries, measured.rate, measured.reserved,
      measured.refused, measured.calls_per_s, measured.calls_per_reservation,
      measured.written_per_reservation, measured.p50_ms, measured.p99_ms,
      measured.idle_calls_per_s);
  std::fflush(stdout);
}

// Prints a linear fit over (x, calls per second) as a line of JSON.
void PrintFit(const char* name,
              const std::vector<std::pair<double, double>>& p) {
  const auto fit = FitLine(p);
  fmt::print(
      R"({{"fit":"{}","slope":{:.3f},"start":{:.1f},"worst_residual":{:.2f}}})"
      "\n",
      name, fit.slope, fit.intercept, fit.max_relative_residual);
}

int Main() {
  bool within_bounds = true;
  const auto measure = [&within_bounds](bool use_leaders, int entries,
                                        int rate) {
    const auto measured = Measure(use_leaders, entries, rate);
    Print(measured);
    within_bounds = within_bounds && measured.idle_calls_per_s == 0 &&
                    measured.refused == 0;
    // One batch per 20 ms and shard bounds the number of calls, regardless of
    // the load, and also regardless of the number of entries if one of them
    // leads the shard.
    constexpr double kMaxCallsPerShardPerSecond = 60;
    if (use_leaders || entries == 1)
      within_bounds = within_bounds && measured.calls_per_s <
                                           kMaxCallsPerShardPerSecond * kShards;
    return measured.calls_per_s;
  };
  std::vector<std::pair<double, double>> by_rate;
  for (const int rate : {50, 200, 800, 1600})
    by_rate.emplace_back(rate, measure(true, 1, rate));
  PrintFit("calls_per_s by reservations_per_s, 1 entry", by_rate);
  for (const bool use_leaders : {false, true}) {
    std::vector<std::pair<double, double>> by_entries;
    for (const int entries : {1, 2, 4, 10})
      by_entries.emplace_back(entries, measure(use_leaders, entries, 200));
    PrintFit(use_leaders
                 ? "calls_per_s by entries, 200 reservations/s, led"
                 : "calls_per_s by entries, 200 reservations/s, not led",
             by_entries);
  }
  return within_bounds ? 0 : 1;
}

}  // namespace
}  // namespace samphire

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return samphire::Main();
}
