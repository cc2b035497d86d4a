#include <Poco/StringTokenizer.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <csignal>
#include <fstream>
#include <memory>

#include "base/log.h"
#include "caller.h"
#include "config/file_text.h"
#include "experiment/arrival_schedule.h"
#include "experiment/load_report.h"
#include "experiment/scenario_reader.h"
#include "load_run.h"
#include "lookup_run.h"

ABSL_FLAG(std::string, scenario, "", "scenario file (JSON)");
ABSL_FLAG(std::string,
          entries,
          "",
          "IP:PORT,... overrides the scenario's entries");
ABSL_FLAG(std::string, direct, "", "IP:PORT of a target: bypass the entries");
ABSL_FLAG(std::string, history, "", "append the event history to this file");
ABSL_FLAG(std::string,
          report_json,
          "",
          "write the report as JSON to this file");
ABSL_FLAG(std::string, report_svg, "", "write the plot as SVG to this file");
ABSL_FLAG(std::uint32_t,
          threads,
          256,
          "sender threads: limit of requests in flight");
ABSL_FLAG(std::string,
          lookups,
          "",
          "SERVICE: send only look-ups to the one of --entries, for --run_ms");
ABSL_FLAG(std::uint32_t, run_ms, 5000, "duration of --lookups in ms");
ABSL_FLAG(std::uint32_t, seed, 0, "overrides the scenario's seed unless 0");

namespace samphire {
namespace {

// Limit for the scenario file.
constexpr std::size_t kMaxFileBytes = 1 << 20;
constexpr int kFailedExitCode = 1;
constexpr int kUsageExitCode = 2;

result<scenario> LoadScenario() {
  BOOST_OUTCOME_TRY(text,
                    ReadFileText(absl::GetFlag(FLAGS_scenario), kMaxFileBytes));
  BOOST_OUTCOME_TRY(plan, ReadScenario(text));
  const Poco::StringTokenizer entries(absl::GetFlag(FLAGS_entries), ",",
                                      Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  if (entries.count() > 0)
    plan.entries.assign(entries.begin(), entries.end());
  if (absl::GetFlag(FLAGS_seed) != 0)
    plan.seed = absl::GetFlag(FLAGS_seed);
  if (plan.entries.empty() && absl::GetFlag(FLAGS_direct).empty())
    return MakeError(result_code::kUsage,
                     "no entry addresses: set \"entries\" in the "
                     "scenario, or pass --entries or --direct",
                     "/entries");
  return std::move(plan);
}

result<std::unique_ptr<history_writer>> OpenHistory() {
  const auto path = absl::GetFlag(FLAGS_history);
  if (path.empty())
    return std::make_unique<history_writer>();
  return history_writer::Open(path);
}

bool WriteFile(const std::string& path, const std::string& text) {
  if (path.empty())
    return true;
  std::ofstream file(path);
  file << text;
  return static_cast<bool>(file.flush());
}

int ReportStartError(const error& failure) {
  Log(log_level::kError, "cannot-start",
      {{"code", NameOf(failure.code)},
       {"detail", failure.detail},
       {"pointer", failure.pointer}});
  return kUsageExitCode;
}

int RunLookupsOnly() {
  const auto run = RunLookups(
      absl::GetFlag(FLAGS_entries), absl::GetFlag(FLAGS_lookups),
      absl::GetFlag(FLAGS_threads), milliseconds(absl::GetFlag(FLAGS_run_ms)));
  fmt::print(R"({{"answered":{},"failed":{},"seconds":{:.3f}}})"
             "\n",
             run.answered, run.failed,
             std::chrono::duration<double>(run.time).count());
  return run.answered > 0 && run.failed == 0 ? 0 : kFailedExitCode;
}

int Run() {
  if (!absl::GetFlag(FLAGS_lookups).empty())
    return RunLookupsOnly();
  const auto plan = LoadScenario();
  if (!plan)
    return ReportStartError(plan.error());
  const auto history = OpenHistory();
  if (!history)
    return ReportStartError(history.error());
  keep_alive_pool pool;
  lookup_cache lookups(plan.value().entries, pool, *history.value());
  caller callers(plan.value(), absl::GetFlag(FLAGS_direct), pool, lookups,
                 *history.value());
  const auto outcomes = RunLoad(callers, PlanArrivals(plan.value()),
                                absl::GetFlag(FLAGS_threads));
  const auto report = MakeReport(plan.value(), outcomes);
  fmt::print("{}look-ups: {}, failed: {}\n", ReportAsText(report),
             lookups.calls(), lookups.failures());
  const bool written =
      WriteFile(absl::GetFlag(FLAGS_report_json), ReportAsJson(report)) &&
      WriteFile(absl::GetFlag(FLAGS_report_svg), ReportAsSvg(report));
  return written ? 0 : kFailedExitCode;
}

}  // namespace
}  // namespace samphire

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Generates open-loop load from a scenario file.");
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  samphire::ConfigureLog("samphire-load", samphire::log_level::kInfo);
  return samphire::Run();
}
