#include "stop/stop_run.h"

#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <thread>

#include "platform_adapter/entry_fixture.h"
#include "platform_adapter/stand_in_platform.h"
#include "platform_adapter/wire_text.h"
#include "support/child_process.h"
#include "support/free_address.h"
#include "support/wait_until.h"

namespace samphire {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr int kTargets = 2;
constexpr auto kLoadTime = 1s;
// Calls before that time are none of the stop's.
constexpr auto kWatchedBefore = 1s;

// Threads that use up processors.
class busy_threads {
 public:
  explicit busy_threads(int count) {
    for (int i = 0; i < count; ++i) {
      threads_.emplace_back([](const std::stop_token& stop) {
        std::atomic<std::uint64_t> work = 0;
        while (!stop.stop_requested())
          ++work;
      });
    }
  }

 private:
  std::vector<std::jthread> threads_;
};

// A folder for the settings and the log of one process.
std::filesystem::path MakeFolder() {
  static std::atomic<int> number = 0;
  auto folder = std::filesystem::temp_directory_path() /
                fmt::format("samphire-stop-{}-{}", getpid(), number++);
  std::filesystem::create_directories(folder);
  return folder;
}

std::string DescriptionOf(const platform::kept_call& call,
                          const stop_outcome& outcome) {
  const auto since = [&](auto at) {
    return std::chrono::duration<double>(at - outcome.signalled).count();
  };
  auto text = fmt::format("{} {} sent {:.2f} ended {:.2f} status {} {}",
                          call.id, call.repeatable ? "repeatable" : "once",
                          since(call.sent), since(call.ended), call.status,
                          NameOf(platform::kCallEndNames, call.end));
  const auto [first, last] = outcome.runs.equal_range(call.id);
  for (auto run = first; run != last; ++run)
    text += fmt::format(", ran {:.2f} to {:.2f}", since(run->second.begin),
                        run->second.end ? since(*run->second.end) : -1.0);
  return text;
}

}  // namespace

// A request that was taken before the signal may run for longer than the
// process lives; its caller is told of that, or gets a part of the response.
std::vector<std::string> stop_outcome::Faults(const stop_plan& plan) const {
  std::vector<std::string> faults;
  const auto add = [&](const char* what, const platform::kept_call& call) {
    faults.push_back(fmt::format("{}: {}", what, DescriptionOf(call, *this)));
  };
  for (const auto& call : calls) {
    if (call.sent < signalled - kWatchedBefore)
      continue;
    const auto ran = runs.count(call.id);
    const bool not_run = platform::GuaranteesNotRun(call.status);
    if (!call.repeatable && ran > 1)
      add("ran twice", call);
    if (!call.repeatable && not_run && ran > 0)
      add("ran, and its caller was told otherwise", call);
    const bool may_outlast_process =
        call.sent <= signalled && call.ended >= signalled + plan.grace * 5 / 6;
    if (call.end == platform::call_end::kAnswered &&
        (call.status == 200 || not_run || may_outlast_process))
      continue;
    if (call.end == platform::call_end::kBrokenOff && may_outlast_process)
      continue;
    add("not kept", call);
  }
  return faults;
}

stop_outcome RunStop(const stop_plan& plan) {
  platform::stand_in_platform store;
  std::vector<std::unique_ptr<platform::paced_target>> targets;
  store.Write("config/main",
              platform::TimedManifestObject("00000003", plan.route_timeout));
  for (const std::string service : {"reads", "writes"}) {
    for (int i = 0; i < kTargets; ++i) {
      targets.push_back(std::make_unique<platform::paced_target>(
          fmt::format("i-{}-{}", service, i), plan.pace,
          plan.callers.seed * 10 + targets.size()));
      store.Write("servers/" + targets.back()->id(),
                  platform::WideTargetObject(targets.back()->address(), service,
                                             plan.callers.callers));
    }
  }
  const auto folder = MakeFolder();
  auto settings = platform::TestSettings(store.address());
  const auto& traffic = settings.traffic;
  const auto settings_path = (folder / "entry.json").string();
  settings.traffic.seeds = {traffic.peer_address};
  std::ofstream(settings_path)
      << platform::SettingsText(settings, plan.grace, plan.lookup_ttl);
  stop_outcome outcome;
  outcome.log_path = settings_path + ".log";
  child_process entry("samphire-platform-entry",
                      {"--settings=" + settings_path}, outcome.log_path,
                      child_output::kLog);
  const auto is_ready = [&] {
    try {
      return platform::IsReady(settings);
    } catch (const Poco::Exception&) {
      return false;
    }
  };
  if (!WaitUntil(is_ready, 20s))
    throw std::runtime_error("the entry did not become ready");
  const busy_threads busy(plan.busy_threads);
  platform::kept_callers callers(plan.callers,
                                 [&](int) { return traffic.caller_address; });
  std::this_thread::sleep_for(kLoadTime);
  outcome.signalled = std::chrono::steady_clock::now();
  entry.Signal(SIGTERM);
  auto more = plan.more_signals.begin();
  const auto kill_at = outcome.signalled + plan.grace;
  while (entry.running() && std::chrono::steady_clock::now() < kill_at) {
    if (more != plan.more_signals.end() &&
        std::chrono::steady_clock::now() >= outcome.signalled + more->first)
      entry.Signal((more++)->second);
    std::this_thread::sleep_for(1ms);
  }
  outcome.ended_after = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - outcome.signalled);
  if (entry.running())
    entry.Kill();
  outcome.exit_code = entry.Wait();
  outcome.calls = callers.Finish();
  for (const auto& target : targets)
    outcome.runs.merge(target->runs());
  return outcome;
}

}  // namespace samphire
