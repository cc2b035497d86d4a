#include <Poco/StringTokenizer.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include "base/log.h"
#include "target_list.h"
#include "target_program.h"

ABSL_FLAG(std::string, listen, "", "IP:PORT,... simulate one target at each");
ABSL_FLAG(std::string,
          name,
          "target",
          "with --listen: names NAME, NAME-2, ...");
ABSL_FLAG(std::string, service, "", "service; with --declaration: filter");
ABSL_FLAG(std::string, region, "", "region; with --declaration: filter");
ABSL_FLAG(std::string, failure_domain, "", "with --listen: failure domain");
ABSL_FLAG(std::uint32_t, slots, 4, "with --listen: slots of each target");
ABSL_FLAG(std::string,
          declaration,
          "",
          "simulate the targets declared in this file");
ABSL_FLAG(std::string,
          service_ms,
          "5",
          "mean service time in ms: NUMBER or SERVICE=NUMBER,...,NUMBER");
ABSL_FLAG(double, long_share, 0, "share of long requests, 0 to 1");
ABSL_FLAG(double, long_factor, 4, "service time factor of long requests");
ABSL_FLAG(std::string, slow, "", "SERVICE/NAME=FACTOR,... slow targets");
ABSL_FLAG(std::uint32_t,
          cold_requests,
          0,
          "requests after a start until the cache is warm");
ABSL_FLAG(double, cold_factor, 3, "service time factor of a cold request");
ABSL_FLAG(bool, shed, true, "refuse requests while all slots are busy");
ABSL_FLAG(double, load_lie, 1, "factor by which the load report is false");
ABSL_FLAG(std::uint32_t, load_lag_ms, 0, "age of the load report in ms");
ABSL_FLAG(std::uint32_t,
          restart_ms,
          500,
          "time in ms from a crash to the restart");
ABSL_FLAG(std::string,
          crash,
          "restart",
          "on a crash: restart the target, or exit");
ABSL_FLAG(std::string, history, "", "append the event history to this file");
ABSL_FLAG(std::uint32_t, seed, 1, "seed of the service times");
ABSL_FLAG(std::uint32_t,
          stop_ms,
          10000,
          "limit in ms to finish running requests on stop");

namespace samphire {
namespace {

constexpr int kUsageExitCode = 2;

std::vector<worker_identity> WorkersFromListenAddresses() {
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

result<std::vector<worker_identity>> SelectedWorkers() {
  if (absl::GetFlag(FLAGS_declaration).empty()) {
    auto workers = WorkersFromListenAddresses();
    if (workers.empty())
      return MakeError(
          result_code::kUsage,
          "no targets to simulate: pass --listen or --declaration");
    return workers;
  }
  return ReadTargets(absl::GetFlag(FLAGS_declaration),
                     {.region = absl::GetFlag(FLAGS_region),
                      .service = absl::GetFlag(FLAGS_service)});
}

result<target_program> ReadProgram() {
  target_program program;
  BOOST_OUTCOME_TRY(workers, SelectedWorkers());
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
  behavior.sheds_load = absl::GetFlag(FLAGS_shed);
  behavior.reported_load_factor = absl::GetFlag(FLAGS_load_lie);
  behavior.load_report_lag = milliseconds(absl::GetFlag(FLAGS_load_lag_ms));
  behavior.restart_time = milliseconds(absl::GetFlag(FLAGS_restart_ms));
  if (const auto crash = absl::GetFlag(FLAGS_crash); crash == "exit")
    behavior.crash_exits = true;
  else if (crash != "restart")
    return MakeError(result_code::kUsage, "--crash must be restart or exit");
  program.history_path = absl::GetFlag(FLAGS_history);
  program.seed = absl::GetFlag(FLAGS_seed);
  program.stop_time = milliseconds(absl::GetFlag(FLAGS_stop_ms));
  return program;
}

}  // namespace
}  // namespace samphire

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Simulates targets for tests and the demo.");
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
