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
#include "ledger/ledger.h"
#include "ledger/local_shard_router.h"
#include "line_fit.h"

ABSL_FLAG(int, latency_ms, 3, "how long the platform takes for a call");
ABSL_FLAG(int, seconds, 3, "how long each point is loaded");

namespace samphire {
namespace {

constexpr int kThreads = 128;
constexpr std::uint32_t kShards = 8;

// The platform's conditional updates with a latency, counting calls.
class slow_store final : public object_store {
 public:
  explicit slow_store(milliseconds latency) : latency_(latency) {}

  result<store_object> Get(const std::string& key) override {
    Wait();
    std::lock_guard guard(lock_);
    const auto found = objects_.find(key);
    if (found == objects_.end())
      return MakeError(result_code::kStoreNotFound);
    return found->second;
  }
  result<std::uint64_t> Put(const std::string& key,
                            const std::string& value,
                            std::uint64_t expected) override {
    Wait();
    std::lock_guard guard(lock_);
    auto& object = objects_[key];
    if (object.version != expected)
      return MakeError(result_code::kStoreConflict);
    bytes_ += value.size();
    object = {key, expected + 1, value};
    return expected + 1;
  }
  result<void> Delete(const std::string&, std::uint64_t) override {
    return MakeError(result_code::kStoreRefused);
  }
  result<std::vector<store_object>> List(const std::string&) override {
    return MakeError(result_code::kStoreRefused);
  }
  result<watch_batch> Watch(const std::string&,
                            std::uint64_t,
                            milliseconds) override {
    return MakeError(result_code::kStoreRefused);
  }
  result<std::vector<instance_info>> Instances() override {
    return MakeError(result_code::kStoreRefused);
  }

  int calls() const { return calls_; }
  std::uint64_t bytes() const { return bytes_; }

 private:
  void Wait() {
    ++calls_;
    std::this_thread::sleep_for(latency_);
  }

  const milliseconds latency_;
  std::atomic<int> calls_{0};
  std::atomic<std::uint64_t> bytes_{0};
  std::mutex lock_;
  std::map<std::string, store_object> objects_;
};

struct point {
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
void Load(std::vector<std::unique_ptr<ledger>>& entries,
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
        auto& entry = *entries[static_cast<std::size_t>(i) % entries.size()];
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

point Measure(int entry_count, int rate) {
  slow_store store{milliseconds(absl::GetFlag(FLAGS_latency_ms))};
  const local_shard_router router;
  const system_clock_source clock;
  metrics registry;
  std::vector<std::unique_ptr<ledger>> entries;
  for (int i = 0; i < entry_count; ++i) {
    ledger_options options;
    options.self = {fmt::format("entry-{}", i), 1};
    options.shards = kShards;
    options.max_attempts = 50;
    entries.push_back(
        std::make_unique<ledger>(store, router, clock, registry, options));
  }
  load_result total;
  const auto start = clock.now();
  Load(entries, rate, total);
  const double elapsed =
      std::chrono::duration<double>(clock.now() - start).count();
  point measured{entry_count, rate, total.reserved, total.refused};
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
      entry->RetryPending();
    std::this_thread::sleep_for(milliseconds(50));
  }
  measured.idle_calls_per_s = store.calls() - before;
  return measured;
}

void Print(const point& measured) {
  fmt::print(R"({{"entries":{},"rate":{},"reserved":{},"refused":{},)"
             R"("calls_per_s":{:.0f},"calls_per_reservation":{:.2f},)"
             R"("written_bytes_per_reservation":{:.0f},"p50_ms":{:.1f},)"
             R"("p99_ms":{:.1f},"idle_calls_per_s":{:.0f}}})"
             "\n",
             measured.entries, measured.rate, measured.reserved,
             measured.refused, measured.calls_per_s,
             measured.calls_per_reservation, measured.written_per_reservation,
             measured.p50_ms, measured.p99_ms, measured.idle_calls_per_s);
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
  std::vector<std::pair<double, double>> by_rate;
  for (const int rate : {50, 200, 800, 1600}) {
    const auto measured = Measure(1, rate);
    Print(measured);
    by_rate.emplace_back(rate, measured.calls_per_s);
    sound = sound && measured.idle_calls_per_s == 0 && measured.refused == 0;
    // One batch each 20 ms and shard bounds the calls however many ask.
    constexpr double kMostCallsPerShard = 55;
    sound = sound && measured.calls_per_s < kMostCallsPerShard * kShards;
  }
  PrintFit("calls_per_s by reservations_per_s, 1 entry", by_rate);
  std::vector<std::pair<double, double>> by_entries;
  for (const int entries : {1, 2, 4, 10}) {
    const auto measured = Measure(entries, 200);
    Print(measured);
    by_entries.emplace_back(entries, measured.calls_per_s);
    sound = sound && measured.idle_calls_per_s == 0 && measured.refused == 0;
  }
  PrintFit("calls_per_s by entries, 200 reservations/s", by_entries);
  return sound ? 0 : 1;
}

}  // namespace
}  // namespace samphire

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return samphire::Main();
}
