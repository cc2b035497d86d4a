#include <Poco/StringTokenizer.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include "base/log.h"
#include "target_list.h"
#include "target_program.h"

ABSL_FLAG(std::string, listen, "", "IP:PORT,... one worker for each");
ABSL_FLAG(std::string, name, "target", "with --listen: NAME, NAME-2, ...");
ABSL_FLAG(std::string, service, "", "service; with --declaration a choice");
ABSL_FLAG(std::string, region, "", "region; with --declaration a choice");
ABSL_FLAG(std::string, failure_domain, "", "with --listen: failure domain");
ABSL_FLAG(std::uint32_t, slots, 4, "with --listen: slots of each worker");
ABSL_FLAG(std::string, declaration, "", "serve the targets of this file");
ABSL_FLAG(std::string,
          service_ms,
          "5",
          "mean service time in ms: NUMBER or SERVICE=NUMBER,...,NUMBER");
ABSL_FLAG(double, long_share, 0, "share of requests that take longer");
ABSL_FLAG(double, long_factor, 4, "how much longer these take");
ABSL_FLAG(std::string, slow, "", "SERVICE/NAME=FACTOR,... slow workers");
ABSL_FLAG(std::uint32_t, cold_requests, 0, "requests until the cache is warm");
ABSL_FLAG(double, cold_factor, 3, "how much longer a cold request takes");
ABSL_FLAG(bool, shed, true, "refuse requests over the slots");
ABSL_FLAG(double, load_lie, 1, "the load report shows the load times this");
ABSL_FLAG(std::uint32_t, load_lag_ms, 0, "age of the load report");
ABSL_FLAG(std::uint32_t, restart_ms, 500, "how long a crash lasts");
ABSL_FLAG(std::string, crash, "restart", "restart the worker, or exit");
ABSL_FLAG(std::string, history, "", "append the history to this file");
ABSL_FLAG(std::uint32_t, seed, 1, "seed of the service times");
ABSL_FLAG(std::uint32_t, stop_ms, 10000, "longest wait for running requests");

namespace samphire {
namespace {

constexpr int kUsageExitCode = 2;

std::vector<worker_identity> ListenedWorkers() {
  std::vector<worker_identity> workers;
  for (const auto& address :
       Poco::StringTokenizer(absl::GetFlag(FLAGS_listen), ",",
                             Poco::StringTokenizer::TOK_IGNORE_EMPTY)) {
    auto name = absl::GetFlag(FLAGS_name);
    if (!workers.empty())
      name += fmt::format("-{}", workers.size() + 1);
    workers.push_back({.name = std::move(name),
                       .service = absl::GetFlag(FLAGS_service),
                       .region = absl::GetFlag(FLAGS_region),
                       .failure_domain = absl::GetFlag(FLAGS_failure_domain),
                       .address = address,
                       .slots = absl::GetFlag(FLAGS_slots)});
  }
  return workers;
}

result<std::vector<worker_identity>> ChosenWorkers() {
  if (absl::GetFlag(FLAGS_declaration).empty()) {
    auto workers = ListenedWorkers();
    if (workers.empty())
      return MakeError(result_code::kUsage, "give --listen or --declaration");
    return workers;
  }
  return ReadTargets(absl::GetFlag(FLAGS_declaration),
                     {.region = absl::GetFlag(FLAGS_region),
                      .service = absl::GetFlag(FLAGS_service)});
}

result<target_program> ReadProgram() {
  target_program program;
  BOOST_OUTCOME_TRY(workers, ChosenWorkers());
  program.workers = std::move(workers);
  BOOST_OUTCOME_TRY(means, ParseNumbers(absl::GetFlag(FLAGS_service_ms)));
  for (const auto& [service, ms] : means)
    program.service_means[service] =
        microseconds(static_cast<std::int64_t>(ms * 1000));
  auto& behavior = program.behavior;
  if (const auto mean = program.service_means.find("");
      mean != program.service_means.end())
    behavior.mean_service = mean->second;
  BOOST_OUTCOME_TRY(slow, ParseNumbers(absl::GetFlag(FLAGS_slow)));
  program.slow_workers = std::move(slow);
  behavior.long_share = absl::GetFlag(FLAGS_long_share);
  behavior.long_factor = absl::GetFlag(FLAGS_long_factor);
  behavior.cold_requests = absl::GetFlag(FLAGS_cold_requests);
  behavior.cold_factor = absl::GetFlag(FLAGS_cold_factor);
  behavior.sheds = absl::GetFlag(FLAGS_shed);
  behavior.load_lie_factor = absl::GetFlag(FLAGS_load_lie);
  behavior.load_lag = milliseconds(absl::GetFlag(FLAGS_load_lag_ms));
  behavior.restart_time = milliseconds(absl::GetFlag(FLAGS_restart_ms));
  if (const auto crash = absl::GetFlag(FLAGS_crash); crash == "exit")
    behavior.crash_exits = true;
  else if (crash != "restart")
    return MakeError(result_code::kUsage, "--crash is restart or exit");
  program.history_path = absl::GetFlag(FLAGS_history);
  program.seed = absl::GetFlag(FLAGS_seed);
  program.stop_time = milliseconds(absl::GetFlag(FLAGS_stop_ms));
  return program;
}

}  // namespace
}  // namespace samphire

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Stand-in workers for tests and the demo.");
  absl::ParseCommandLine(argc, argv);
  samphire::ConfigureLog("samphire-target", samphire::log_level::kInfo);
  const auto program = samphire::ReadProgram();
  if (!program) {
    samphire::Log(samphire::log_level::kError, "cannot-start",
                  {{"code", NameOf(program.error().code)},
                   {"detail", program.error().detail}});
    return samphire::kUsageExitCode;
  }
  return samphire::RunTargets(program.value());
}
