// Calls to the platform that the ledger makes: per reservation as the load
// grows, as entries are added at the same load, and when idle. The platform
// is a map that answers after a few milliseconds. Prints JSON; exits 1 when a
// bound is broken. The bounds are on counts, not on the machine's speed.

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

ABSL_FLAG(int, latency_ms, 3, "how long the platform takes for a call");
ABSL_FLAG(int, seconds, 3, "how long each point is loaded");

namespace samphire {
namespace {

constexpr int kThreads = 128;
constexpr std::uint32_t kShards = 8;

// Leaders by rendezvous among the entries of this process, or nobody.
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

// One entry's ledger, with forwarding over real datagrams.
struct bench_entry {
  bench_entry(const std::string& name, object_store& store)
      : transport("127.0.0.1:0",
                  name,
                  1,
                  peer_keys::Parse("0123456789abcdef0123456789abcdef").value(),
                  clock,
                  registry),
        forwarder(transport, clock, registry),
        own(store, router, clock, registry, Options(name), &forwarder),
        server(own, transport, clock, registry) {
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
  ledger own;
  forward_server server;
};

struct point {
  bool leaders = false;
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

struct load_result {
  std::atomic<int> reserved{0};
  std::atomic<int> refused{0};
  std::mutex lock;
  std::vector<double> latencies_ms;
};

// Sends reservations at `rate` a second in all, whatever the answers take.
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
            entries[static_cast<std::size_t>(i) % entries.size()]->own;
        const auto asked = clock.now();
        const auto outcome =
            entry.Reserve({"claims-desk", fmt::format("key-{}", i), "digest",
                           asked + milliseconds(5000)});
        const std::chrono::duration<double, std::milli> took =
            clock.now() - asked;
        if (const auto* held = std::get_if<reserved>(&outcome)) {
          ++total.reserved;
          entry.Complete(held->ticket, {201, {}, "recorded"});
        } else {
          ++total.refused;
        }
        std::lock_guard guard(total.lock);
        total.latencies_ms.push_back(took.count());
      }
    });
  }
}

point Measure(bool leaders, int entry_count, int rate) {
  slow_store store{milliseconds(absl::GetFlag(FLAGS_latency_ms))};
  const system_clock_source clock;
  std::vector<std::unique_ptr<bench_entry>> entries;
  std::vector<std::string> names;
  std::map<std::string, std::string> addresses;
  for (int i = 0; i < entry_count; ++i) {
    const auto name = fmt::format("entry-{}", i);
    entries.push_back(std::make_unique<bench_entry>(name, store));
    // Every entry has read the number of shards.
    entries.back()->own.ShardFor("s", "k");
    names.push_back(name);
    addresses[name] = entries.back()->transport.address();
  }
  for (auto& entry : entries) {
    entry->router.addresses = addresses;
    if (leaders)
      entry->router.names = names;
  }
  load_result total;
  const auto start = clock.now();
  Load(entries, rate, total);
  const double elapsed =
      std::chrono::duration<double>(clock.now() - start).count();
  point measured{leaders, entry_count, rate, total.reserved, total.refused};
  measured.calls_per_s = store.calls() / elapsed;
  measured.calls_per_reservation =
      static_cast<double>(store.calls()) / total.reserved;
  measured.written_per_reservation =
      static_cast<double>(store.bytes()) / total.reserved;
  std::ranges::sort(total.latencies_ms);
  const auto at = [&](double share) {
    return total.latencies_ms[static_cast<std::size_t>(
        share * static_cast<double>(total.latencies_ms.size() - 1))];
  };
  measured.p50_ms = at(0.5);
  measured.p99_ms = at(0.99);
  const int before = store.calls();
  for (int i = 0; i < 20; ++i) {
    for (auto& entry : entries)
      entry->own.RetryPending();
    std::this_thread::sleep_for(milliseconds(50));
  }
  measured.idle_calls_per_s = store.calls() - before;
  return measured;
}

void Print(const point& measured) {
  fmt::print(
      R"({{"leaders":{},"entries":{},"rate":{},"reserved":{},"refused":{},)"
      R"("calls_per_s":{:.0f},"calls_per_reservation":{:.2f},)"
      R"("written_bytes_per_reservation":{:.0f},"p50_ms":{:.1f},)"
      R"("p99_ms":{:.1f},"idle_calls_per_s":{:.0f}}})"
      "\n",
      measured.leaders, measured.entries, measured.rate, measured.reserved,
      measured.refused, measured.calls_per_s, measured.calls_per_reservation,
      measured.written_per_reservation, measured.p50_ms, measured.p99_ms,
      measured.idle_calls_per_s);
  std::fflush(stdout);
}

void PrintFit(const char* name,
              const std::vector<std::pair<double, double>>& p) {
  const auto fit = FitLine(p);
  fmt::print(
      R"({{"fit":"{}","slope":{:.3f},"start":{:.1f},"worst_residual":{:.2f}}})"
      "\n",
      name, fit.slope, fit.start, fit.worst_residual);
}

int Main() {
  bool sound = true;
  const auto measure = [&sound](bool leaders, int entries, int rate) {
    const auto measured = Measure(leaders, entries, rate);
    Print(measured);
    sound = sound && measured.idle_calls_per_s == 0 && measured.refused == 0;
    // One batch each 20 ms and shard bounds the calls, however many ask and
    // however many entries there are, when one of them leads.
    constexpr double kMostCallsPerShard = 60;
    if (leaders || entries == 1)
      sound = sound && measured.calls_per_s < kMostCallsPerShard * kShards;
    return measured.calls_per_s;
  };
  std::vector<std::pair<double, double>> by_rate;
  for (const int rate : {50, 200, 800, 1600})
    by_rate.emplace_back(rate, measure(true, 1, rate));
  PrintFit("calls_per_s by reservations_per_s, 1 entry", by_rate);
  for (const bool leaders : {false, true}) {
    std::vector<std::pair<double, double>> by_entries;
    for (const int entries : {1, 2, 4, 10})
      by_entries.emplace_back(entries, measure(leaders, entries, 200));
    PrintFit(leaders ? "calls_per_s by entries, 200 reservations/s, led"
                     : "calls_per_s by entries, 200 reservations/s, not led",
             by_entries);
  }
  return sound ? 0 : 1;
}

}  // namespace
}  // namespace samphire

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return samphire::Main();
}
