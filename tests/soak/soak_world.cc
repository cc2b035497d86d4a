#include "soak/soak_world.h"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <fstream>
#include <map>

#include "platform_adapter/wire_text.h"
#include "soak/raw_call.h"
#include "support/free_address.h"
#include "support/log_schema.h"
#include "support/wait_until.h"

namespace samphire {

namespace {

using namespace std::chrono_literals;
using platform::target_mood;

constexpr int kEntries = 3;
constexpr int kTargetsOfService = 3;
constexpr int kCallers = 6;
constexpr int kMoods = 6;
constexpr auto kRecovery = 12s;
// What must be served again once all is healed.
constexpr int kCalmRequests = 60;
constexpr int kCalmServed = 57;
constexpr std::chrono::milliseconds kRouteTimeout{800};
constexpr std::chrono::milliseconds kLateBy{700};

// Statuses that promise that the request did not run and never will.
bool PromisesNotRun(int status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

}  // namespace

soak_world::soak_world(std::uint64_t seed)
    : seed_(seed),
      random_(seed),
      folder_(std::filesystem::temp_directory_path() /
              fmt::format("samphire-soak-{}-{}", getpid(), seed)) {
  std::filesystem::create_directories(folder_);
  store_.Write("config/main", platform::ManifestObject("00000001"));
  for (const std::string service : {"reads", "writes"}) {
    for (int i = 0; i < kTargetsOfService; ++i) {
      target one;
      one.service = service;
      one.process = std::make_unique<platform::wire_target>(
          fmt::format("i-{}-{}", service, i));
      one.process->work_ms = 10;
      one.link = std::make_unique<relay>("127.0.0.1", one.process->address());
      Register(one, "ready");
      targets_.push_back(std::move(one));
    }
  }
  std::vector<std::string> peers;
  peers.reserve(kEntries);
  for (int i = 0; i < kEntries; ++i)
    peers.push_back(FreeAddress());
  for (int i = 0; i < kEntries; ++i) {
    auto one = std::make_unique<entry>();
    one->store_link = std::make_unique<relay>("127.0.0.1", store_.address());
    one->caller_address = FreeAddress();
    one->settings_path = (folder_ / fmt::format("entry-{}.json", i)).string();
    std::ofstream(one->settings_path) << fmt::format(
        R"({{"instance":"entry-{}","failure_domain":"a-1","region":"a",)"
        R"("failure_domains":{{"a-1":"a"}},"caller_address":"{}",)"
        R"("readiness_address":"{}","lookup_address":"{}",)"
        R"("peer_address":"{}","metrics_address":"{}",)"
        R"("seeds":["{}","{}","{}"],"store_addresses":["{}"],)"
        R"("peer_key":"0123456789abcdef0123456789abcdef",)"
        R"("bounds":["grace=4s","ttl_max=1s"]}})",
        i, one->caller_address, FreeAddress(), FreeAddress(), peers[i],
        FreeAddress(), peers[0], peers[1], peers[2],
        one->store_link->address());
    StartEntry(*one);
    entries_.push_back(std::move(one));
  }
}

soak_world::~soak_world() {
  entries_.clear();
  std::error_code ignored;
  if (findings_.empty())
    std::filesystem::remove_all(folder_, ignored);
}

void soak_world::StartEntry(entry& one) {
  one.leaving = false;
  one.process = std::make_unique<child_process>(
      "samphire-platform-entry",
      std::vector<std::string>{"--settings=" + one.settings_path},
      one.settings_path + ".log", child_output::kLog);
}

void soak_world::Register(const target& one, const std::string& state) {
  store_.Write("servers/" + one.process->id(),
               platform::TargetObject(one.link->address(), one.service, state));
}

std::vector<soak_finding> soak_world::Run(std::chrono::seconds time) {
  const auto ready = [&] {
    return CallRaw(entries_[0]->caller_address, "GET", "/read/up", "up", "")
               .status == 200;
  };
  if (!WaitUntil(ready, 10s))
    Find("starts", "no request was served within 10 s of the start");
  asking_ = true;
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i)
    callers.emplace_back([this, i] { Ask(seed_ * 100 + i); });
  const auto until = std::chrono::steady_clock::now() + time;
  while (std::chrono::steady_clock::now() < until) {
    Strike();
    std::this_thread::sleep_for(
        std::chrono::milliseconds(40 + random_() % 160));
  }
  Heal();
  asking_ = false;
  for (auto& caller : callers)
    caller.join();
  JudgeRecovery();
  Judge();
  JudgeBroken();
  JudgeLogs();
  return findings_;
}

// One fault, or the end of one. They come in series and overlap.
void soak_world::Strike() {
  auto& one = *entries_[random_() % entries_.size()];
  auto& hit = targets_[random_() % targets_.size()];
  switch (random_() % 10) {
    case 0:
    case 1:
      StrikeEntry(one);
      break;
    case 2:
      StrikeLink(*one.store_link);
      break;
    case 3:
      StrikeLink(*hit.link);
      break;
    case 4:
    case 5:
    case 6:
      hit.process->mood = static_cast<target_mood>(random_() % kMoods);
      break;
    case 7:
      hit.process->mood = target_mood::kServe;
      Register(hit, random_() % 3 == 0 ? "draining" : "ready");
      break;
    case 8:
      store_.refuse_with = random_() % 3 == 0 ? 503 : 0;
      store_.history_gone = random_() % 3 == 0;
      break;
    default:
      store_.Write("config/main",
                   platform::ManifestObject(fmt::format("{:08x}", ++version_)));
  }
}

void soak_world::StrikeEntry(entry& one) {
  if (!one.process->running()) {
    StartEntry(one);
    return;
  }
  switch (random_() % 4) {
    case 0:
      // Odd while the process is being killed: what comes then is cut as well.
      ++one.kills;
      one.process->Kill();
      ++one.kills;
      break;
    case 1:
      if (!one.leaving)
        one.process->Signal(SIGTERM);
      one.leaving = true;
      break;
    case 2:
      one.process->Signal(SIGSTOP);
      std::this_thread::sleep_for(
          std::chrono::milliseconds(200 + random_() % 1200));
      one.process->Signal(SIGCONT);
      break;
    default:
      one.process->Signal(SIGHUP);
  }
}

void soak_world::StrikeLink(relay& link) {
  switch (random_() % 6) {
    case 0:
      link.SetDelay(relay::way::kThere,
                    std::chrono::milliseconds(random_() % 300));
      break;
    case 1:
      link.SetCut(relay::way::kThere, true);
      break;
    case 2:
      link.SetCut(relay::way::kBack, true);
      break;
    case 3:
      link.ResetConnections();
      break;
    default:
      link.SetCut(relay::way::kThere, false);
      link.SetCut(relay::way::kBack, false);
      link.SetDelay(relay::way::kThere, 0ms);
  }
}

void soak_world::Heal() {
  store_.refuse_with = 0;
  store_.history_gone = false;
  const auto heal = [](relay& link) {
    link.SetCut(relay::way::kThere, false);
    link.SetCut(relay::way::kBack, false);
    link.SetDelay(relay::way::kThere, 0ms);
  };
  for (auto& each : targets_) {
    each.process->mood = target_mood::kServe;
    heal(*each.link);
    Register(each, "ready");
  }
  for (auto& each : entries_) {
    heal(*each->store_link);
    if (each->leaving)
      WaitUntil([&] { return !each->process->running(); }, 6s);
    if (!each->process->running())
      StartEntry(*each);
  }
}

void soak_world::Ask(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  for (std::uint64_t i = 0; asking_; ++i) {
    AskOnce(random, seed * 1'000'000 + i);
    std::this_thread::sleep_for(std::chrono::milliseconds(random() % 20));
  }
}

void soak_world::AskOnce(std::mt19937_64& random, std::uint64_t number) {
  auto& one = *entries_[random() % entries_.size()];
  const bool is_claim = random() % 3 == 0;
  const auto id = fmt::format("q{:x}", number);
  const int kills = one.kills;
  const bool leaving = one.leaving;
  const auto started = std::chrono::steady_clock::now();
  const auto method = is_claim ? "POST" : "GET";
  const auto path = (is_claim ? "/write/" : "/read/") + id;
  const auto answer = CallRaw(one.caller_address, method, path, id, id);
  ++asked_;
  served_ += answer.status == 200 ? 1 : 0;
  const auto expected = fmt::format("{} {} {}", method, path, id);
  if (answer.status == 200 && answer.body != expected)
    Find("the whole answer to its own request", id + " got " + answer.body);
  if (answer.status == 404)
    Find("no 404 for what the configuration allows", id);
  // A kill cuts what is in progress; nothing else may.
  const bool killed = kills != one.kills || kills % 2 == 1;
  if (answer.broken && !killed) {
    std::lock_guard guard(lock_);
    broken_.push_back({id, leaving || one.leaving, one.caller_address,
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::steady_clock::now() - started)});
  }
  if (is_claim && !answer.refused) {
    std::lock_guard guard(lock_);
    claims_.push_back({id, answer.status});
  }
}

void soak_world::Judge() {
  std::map<std::string, int> runs;
  for (const auto& each : targets_) {
    for (const auto& [id, count] : each.process->runs_by_id())
      runs[id] += count;
  }
  for (const auto& each : claims_) {
    const auto found = runs.find(each.id);
    const int count = found == runs.end() ? 0 : found->second;
    if (count > 1)
      Find("once at most", fmt::format("{} ran {} times", each.id, count));
    if (each.status == 200 && count != 1)
      Find("answered means run", each.id);
    if (PromisesNotRun(each.status) && count > 0)
      Find("not run is true", fmt::format("{} {}", each.status, each.id));
  }
}

// The end of a process that was asked to stop resets connections that no thread
// had taken in yet. Their requests were not read, which callers know from the
// reset; but one that the entry's log names was read, and must be answered.
void soak_world::JudgeBroken() {
  const auto logs = LogLines();
  for (const auto& each : broken_) {
    const bool read =
        std::any_of(logs.begin(), logs.end(), [&](const auto& line) {
          return line.find(each.id) != std::string::npos;
        });
    if (read || !each.stopping)
      Find("an answer to every request that was read",
           fmt::format("{} after {} ms at {}", each.id, each.took.count(),
                       each.entry));
  }
}

// On-call engineers have little else than these lines; each must be what the
// manual says.
void soak_world::JudgeLogs() {
  const log_schema schema(SAMPHIRE_SOURCE_DIR "/docs/LOGS.md");
  for (const auto& line : LogLines()) {
    const auto fault = schema.FaultOf(line);
    if (!fault.empty())
      Find("logs keep to their schema", fmt::format("{} in {}", fault, line));
  }
}

std::vector<std::string> soak_world::LogLines() const {
  std::vector<std::string> lines;
  for (const auto& each : entries_) {
    std::ifstream file(each->settings_path + ".log");
    for (std::string line; std::getline(file, line);)
      lines.push_back(std::move(line));
  }
  return lines;
}

// After the last fault everything must be served again, by every entry, and
// under the last configuration.
void soak_world::JudgeRecovery() {
  for (auto& one : entries_) {
    const auto whole = [&] {
      return CallRaw(one->caller_address, "GET", "/read/calm", "calm", "")
                 .status == 200;
    };
    if (!WaitUntil(whole, kRecovery)) {
      Find("recovery", one->caller_address + " serves nothing");
      continue;
    }
    std::this_thread::sleep_for(500ms);
    int good = 0;
    for (int i = 0; i < kCalmRequests; ++i) {
      const auto started = std::chrono::steady_clock::now();
      good += CallRaw(one->caller_address, "GET", "/read/calm",
                      fmt::format("calm{}", i), "")
                          .status == 200
                  ? 1
                  : 0;
      if (std::chrono::steady_clock::now() - started > kRouteTimeout + kLateBy)
        Find("a final answer at the timeout", one->caller_address);
    }
    if (good < kCalmServed)
      Find("recovery", fmt::format("{} of {} at {}", good, kCalmRequests,
                                   one->caller_address));
  }
}

void soak_world::Find(std::string promise, std::string detail) {
  std::lock_guard guard(lock_);
  findings_.push_back({std::move(promise),
                       std::move(detail) + ", logs in " + folder_.string()});
}

}  // namespace samphire
