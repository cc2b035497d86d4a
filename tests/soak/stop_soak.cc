#include "soak/stop_soak.h"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <thread>

#include "platform_adapter/entry_fixture.h"
#include "platform_adapter/wire_text.h"
#include "soak/raw_call.h"
#include "soak/soak_folder.h"
#include "support/free_address.h"
#include "support/log_schema.h"
#include "support/wait_until.h"

namespace samphire {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds kGrace{2400};
constexpr milliseconds kLookupTtl{300};
constexpr milliseconds kRouteTimeout{1500};
constexpr int kTargetsOfService = 2;
constexpr platform::answer_pace kPace{.max_time = milliseconds{700},
                                      .pieces = 4};
constexpr auto kStartTimeout = 20s;
// A program that was just executed has not set up its signals yet.
constexpr milliseconds kStartTime{500};

// Entries that name no target, as another writer may leave them.
std::vector<std::string> OddEntries() {
  // Where nothing else is wrong, the target leaves and gets no request.
  const auto sound =
      platform::TargetObject("127.0.0.1:80", "reads", "draining");
  const auto nested = std::string(110, '[') + std::string(110, ']');
  return {
      R"({"spec":null})",
      R"({"spec":[1,2]})",
      R"({"spec":{"address":7}})",
      R"({"spec":)" + nested + "}",
      platform::Replaced(sound, "127.0.0.1:80", "127.0.0.1:65536"),
      platform::Replaced(sound, "127.0.0.1:80", "no.such.host:80"),
      platform::Replaced(sound, R"("slots":4)", R"("slots":1e300)"),
      platform::Replaced(sound, R"("seq":4)", R"("seq":9223372036854775807)"),
      platform::Replaced(sound, R"("0ms")", R"("1e99s")"),
      platform::Replaced(sound, R"("v1")",
                         '"' + std::string(200'000, 'v') + '"')};
}

}  // namespace

stop_soak::stop_soak(const stop_soak_plan& plan)
    : plan_(plan),
      random_(plan.seed),
      folder_(MakeSoakFolder("stops", plan.seed)) {
  store_.Write("config/main",
               platform::TimedManifestObject("00000003", kRouteTimeout));
  for (const std::string service : {"reads", "writes"}) {
    for (int i = 0; i < kTargetsOfService; ++i) {
      targets_.push_back(std::make_unique<platform::paced_target>(
          fmt::format("i-{}-{}", service, i), kPace,
          plan.seed * 10 + targets_.size()));
      store_.Write("servers/" + targets_.back()->id(),
                   platform::WideTargetObject(targets_.back()->address(),
                                              service, plan.callers * 2));
    }
  }
  const auto seed_address = FreeAddress();
  for (int i = 0; i < plan.entries; ++i) {
    auto one = std::make_unique<entry>();
    one->address = FreeAddress();
    one->settings_path = (folder_ / fmt::format("entry-{}.json", i)).string();
    WriteSettings(*one, seed_address, i == 0 ? seed_address : FreeAddress());
    Start(*one);
    entries_.push_back(std::move(one));
  }
}

stop_soak::~stop_soak() {
  entries_.clear();
  RemoveSoakFolder(folder_, findings_);
}

void stop_soak::WriteSettings(const entry& one,
                              const std::string& seed_address,
                              const std::string& peer_address) {
  auto settings = platform::TestSettings(store_.address());
  auto& traffic = settings.traffic;
  traffic.place.instance =
      std::filesystem::path(one.settings_path).stem().string();
  traffic.caller_address = one.address;
  traffic.peer_address = peer_address;
  traffic.seeds = {seed_address};
  std::ofstream(one.settings_path)
      << platform::SettingsText(settings, kGrace, kLookupTtl);
}

void stop_soak::Start(entry& one) {
  one.stopping = false;
  one.started = std::chrono::steady_clock::now();
  one.process = std::make_unique<child_process>(
      "samphire-platform-entry",
      std::vector<std::string>{"--settings=" + one.settings_path},
      one.settings_path + ".log", child_output::kLog);
}

void stop_soak::Stop(entry& one) {
  ++stops_;
  one.stopping = true;
  one.stops.push_back(std::chrono::steady_clock::now());
  one.process->Signal(SIGTERM);
}

void stop_soak::Kill(entry& one) {
  const auto begin = std::chrono::steady_clock::now();
  one.process->Kill();
  one.kills.push_back({begin, std::chrono::steady_clock::now()});
  one.stopping = false;
}

void stop_soak::Watch(entry& one) {
  const auto now = std::chrono::steady_clock::now();
  if (!one.process->running()) {
    if (!one.stopping && (one.kills.empty() || one.process->Wait() >= 0))
      Add("no process ends by itself", one.address);
    if (one.stopping && one.process->Wait() != 0)
      Add("a stop ends with status 0",
          fmt::format("{} at {}", one.process->Wait(), one.address));
    Start(one);
  } else if (one.stopping && now >= one.stops.back() + kGrace) {
    Add("a stop ends before the kill", one.address);
    Kill(one);
  }
}

void stop_soak::InjectFault() {
  auto& one = *entries_[random_() % entries_.size()];
  if (std::chrono::steady_clock::now() < one.started + kStartTime)
    return;
  switch (random_() % 8) {
    case 0:
    case 1:
    case 2:
      if (!one.stopping)
        Stop(one);
      break;
    case 3:
      // Several at once, as a roll does.
      for (const auto& each : entries_) {
        const bool is_up =
            std::chrono::steady_clock::now() >= each->started + kStartTime;
        if (is_up && !each->stopping && random_() % 2 == 0)
          Stop(*each);
      }
      break;
    case 4:
      Kill(one);
      Start(one);
      break;
    case 5:
      one.process->Signal(SIGTERM);
      if (!one.stopping) {
        ++stops_;
        one.stopping = true;
        one.stops.push_back(std::chrono::steady_clock::now());
      }
      one.process->Signal(SIGHUP);
      break;
    default:
      one.process->Signal(SIGHUP);
  }
}

void stop_soak::InjectOddEntry() {
  static const auto odd = OddEntries();
  if (random_() % 4 == 0 && odd_entries_ > 0) {
    store_.Remove(fmt::format("servers/odd-{}", --odd_entries_));
  } else {
    store_.Write(fmt::format("servers/odd-{}", odd_entries_++),
                 odd[random_() % odd.size()]);
  }
}

std::vector<soak_finding> stop_soak::Run() {
  for (const auto& each : entries_) {
    const auto is_served = [&] {
      return SendRawRequest(each->address, "GET", "/read/up", "up", "")
                 .status == 200;
    };
    if (!WaitUntil(is_served, kStartTimeout))
      Add("starts", each->address);
  }
  platform::kept_callers callers(
      {.callers = plan_.callers,
       .max_pause = milliseconds{100},
       .deadline = milliseconds{4000},
       .seed = plan_.seed},
      [this](int caller) {
        return entries_[static_cast<std::size_t>(caller) % entries_.size()]
            ->address;
      });
  const auto until = std::chrono::steady_clock::now() + plan_.duration;
  auto next_fault = std::chrono::steady_clock::now() + 300ms;
  while (std::chrono::steady_clock::now() < until) {
    for (const auto& each : entries_)
      Watch(*each);
    if (std::chrono::steady_clock::now() >= next_fault) {
      InjectFault();
      InjectOddEntry();
      next_fault = std::chrono::steady_clock::now() +
                   milliseconds(100 + random_() % 700);
    }
    std::this_thread::sleep_for(2ms);
  }
  for (const auto& each : entries_) {
    WaitUntil(
        [&] {
          Watch(*each);
          return !each->stopping;
        },
        10s);
  }
  const auto calls = callers.Finish();
  calls_ = static_cast<int>(calls.size());
  std::multimap<std::string, platform::paced_run> runs;
  for (const auto& each : targets_)
    runs.merge(each->runs());
  for (const auto& each : calls)
    Judge(each, runs);
  CheckLogs();
  return findings_;
}

// Only a kill may cut what was taken, or close a kept connection before the
// next request; a stop may cut what was sent before it and ran into the last
// sixth of the grace.
void stop_soak::Judge(
    const platform::kept_call& call,
    const std::multimap<std::string, platform::paced_run>& runs) {
  const auto& one = **std::ranges::find_if(
      entries_, [&](const auto& each) { return each->address == call.entry; });
  const auto ran = runs.count(call.id);
  const auto before = std::ranges::upper_bound(one.stops, call.sent);
  const auto since_stop = before == one.stops.begin()
                              ? milliseconds{-1}
                              : std::chrono::duration_cast<milliseconds>(
                                    call.sent - *std::prev(before));
  const auto took =
      std::chrono::duration_cast<milliseconds>(call.ended - call.sent);
  const auto detail = [&] {
    return fmt::format(
        "{} at {}, {}, sent {} ms after SIGTERM, status {}, {} after {} ms, "
        "ran {}",
        call.id, call.entry, call.repeatable ? "repeatable" : "once",
        since_stop.count(), call.status,
        NameOf(platform::kCallEndNames, call.end), took.count(), ran);
  };
  if (!call.repeatable && ran > 1)
    Add("once at most", detail());
  if (!call.repeatable && platform::GuaranteesNotRun(call.status) && ran > 0)
    Add("not run is true", detail());
  const bool killed = std::ranges::any_of(one.kills, [&](const auto& each) {
    return call.connected <= each.end && each.begin <= call.ended;
  });
  if (killed)
    return;
  const bool may_outlast = std::ranges::any_of(one.stops, [&](time at) {
    return call.sent <= at && call.ended >= at + kGrace * 5 / 6;
  });
  const bool answered = call.end == platform::call_end::kAnswered;
  const bool broken = call.end == platform::call_end::kBrokenOff;
  if (answered &&
      (call.status == 200 || platform::GuaranteesNotRun(call.status)))
    return;
  if (may_outlast && (answered || broken))
    return;
  Add("what was sent gets its response, or a refusal", detail());
}

void stop_soak::CheckLogs() {
  const log_schema schema(SAMPHIRE_SOURCE_DIR "/docs/LOGS.md");
  for (const auto& each : entries_) {
    std::ifstream file(each->settings_path + ".log");
    for (std::string line; std::getline(file, line);) {
      const auto fault = schema.FindViolation(line);
      if (!fault.empty())
        Add("log lines conform to their schema",
            fmt::format("{} in {}", fault, line));
    }
  }
}

void stop_soak::Add(std::string guarantee, std::string detail) {
  findings_.push_back({std::move(guarantee),
                       std::move(detail) + ", logs in " + folder_.string()});
}

}  // namespace samphire
