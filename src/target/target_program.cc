#include "target_program.h"

#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>
#include <fmt/format.h>

#include <csignal>
#include <memory>
#include <thread>

#include "base/log.h"
#include "base/signal_block.h"
#include "worker_server.h"

namespace samphire {

namespace {

// Limit of connection threads for all targets of the process.
constexpr int kThreads = 4000;
// Small stacks keep thousands of threads affordable.
constexpr int kThreadStackBytes = 256 << 10;
// Interval at which a stopping process checks for unfinished requests.
constexpr milliseconds kStopPollInterval{5};

struct running_worker {
  std::unique_ptr<worker> state;
  std::unique_ptr<worker_server> server;
};

worker_behavior BehaviorOf(const target_program& program,
                           const worker_identity& identity) {
  auto behavior = program.behavior;
  if (const auto mean = program.service_means.find(identity.service);
      mean != program.service_means.end())
    behavior.mean_service = mean->second;
  if (const auto slow = program.slow_workers.find(identity.full_name());
      slow != program.slow_workers.end())
    behavior.slow_factor = slow->second;
  return behavior;
}

// Prints one line of JSON with the bound addresses, for the process that
// started this one.
void PrintAddresses(const std::vector<running_worker>& workers) {
  std::string list;
  for (const auto& worker : workers) {
    const auto& identity = worker.state->identity();
    list += fmt::format(
        R"({}{{"name":"{}","service":"{}","region":"{}","failure_domain":"{}",)"
        R"("address":"{}"}})",
        list.empty() ? "" : ",", identity.name, identity.service,
        identity.region, identity.failure_domain, worker.server->address());
  }
  fmt::print("{{\"targets\":[{}]}}\n", list);
  std::fflush(stdout);
}

// Refuses new requests and waits up to `limit` for the running ones.
void WaitForActiveRuns(std::vector<running_worker>& workers,
                       milliseconds limit) {
  for (auto& worker : workers)
    worker.state->StopAccepting();
  const auto end = std::chrono::steady_clock::now() + limit;
  for (auto& worker : workers) {
    while (!worker.state->idle() && std::chrono::steady_clock::now() < end)
      std::this_thread::sleep_for(kStopPollInterval);
  }
}

}  // namespace

result<std::map<std::string, double>> ParseNumbers(const std::string& text) {
  std::map<std::string, double> numbers;
  for (const auto& part : Poco::StringTokenizer(
           text, ",", Poco::StringTokenizer::TOK_IGNORE_EMPTY)) {
    const auto equals = part.find('=');
    const auto name = equals == std::string::npos ? "" : part.substr(0, equals);
    const auto digits =
        equals == std::string::npos ? part : part.substr(equals + 1);
    double number = 0;
    if (!Poco::NumberParser::tryParseFloat(digits, number) || number < 0)
      return MakeError(result_code::kUsage, part);
    numbers[name] = number;
  }
  return numbers;
}

int RunTargets(const target_program& program) {
  const auto stop_signals = BlockSignals({SIGTERM, SIGINT});
  std::signal(SIGPIPE, SIG_IGN);

  auto history = std::make_unique<history_writer>();
  if (!program.history_path.empty()) {
    auto opened = history_writer::Open(program.history_path);
    if (!opened) {
      Log(log_level::kError, "history-unwritable",
          {{"path", program.history_path}});
      return 2;
    }
    history = std::move(opened.value());
  }
  Poco::ThreadPool threads(2, kThreads, 10, kThreadStackBytes);
  std::vector<running_worker> workers;
  try {
    for (const auto& identity : program.workers) {
      auto state = std::make_unique<worker>(
          identity, BehaviorOf(program, identity), *history,
          program.seed + static_cast<std::uint32_t>(workers.size()));
      auto server = std::make_unique<worker_server>(*state, threads);
      workers.push_back({std::move(state), std::move(server)});
    }
  } catch (const Poco::Exception& e) {
    Log(log_level::kError, "cannot-listen", {{"detail", e.displayText()}});
    return 1;
  }
  PrintAddresses(workers);
  int signal = 0;
  sigwait(&stop_signals, &signal);
  WaitForActiveRuns(workers, program.stop_time);
  for (auto& worker : workers)
    worker.server->Stop();
  threads.joinAll();
  return 0;
}

}  // namespace samphire
