#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <string>
#include <vector>

#include "base/log.h"
#include "declared_caps.h"
#include "history/history_codec.h"
#include "history/history_judge.h"
#include "history/history_measures.h"
#include "history/history_reader.h"

ABSL_FLAG(std::string,
          declaration,
          "",
          "declaration file that the shift caps are read from");
ABSL_FLAG(std::vector<std::string>,
          require,
          {},
          "RULE,...: rules that must have judged something; exit 1 otherwise");
ABSL_FLAG(std::uint32_t,
          leaving_ms,
          3000,
          "max. time from a target's drain to its last new run");
ABSL_FLAG(std::uint32_t,
          in_force_ms,
          9000,
          "max. time from acceptance of a configuration until it is in force");
ABSL_FLAG(std::uint32_t, at_once_ms, 250, "max. time until a refusal is sent");
ABSL_FLAG(std::uint32_t,
          findings,
          5,
          "max. number of findings printed for each rule");

namespace samphire {
namespace {

// A rule is violated, or a required rule judged nothing.
constexpr int kViolationExitCode = 1;
// No file is named, or a file cannot be read or is invalid.
constexpr int kUsageExitCode = 2;

// Returns the time limits that the flags set.
history_limits Limits() {
  return {.leaving_limit = milliseconds(absl::GetFlag(FLAGS_leaving_ms)),
          .config_limit = milliseconds(absl::GetFlag(FLAGS_in_force_ms)),
          .refusal_limit = milliseconds(absl::GetFlag(FLAGS_at_once_ms))};
}

// Returns the shift caps of the declaration, if one is named, followed by the
// events of all histories in order of time.
result<std::vector<history_event>> ReadAll(
    const std::vector<std::string>& paths) {
  std::vector<history_event> events;
  if (const auto declaration = absl::GetFlag(FLAGS_declaration);
      !declaration.empty()) {
    BOOST_OUTCOME_TRY(caps, ReadDeclaredCaps(declaration));
    events = std::move(caps);
  }
  BOOST_OUTCOME_TRY(read, ReadHistories(paths));
  std::move(read.begin(), read.end(), std::back_inserter(events));
  return events;
}

void Print(const rule_verdict& verdict) {
  fmt::print("{:<16} {:<10} {} judged, {} findings\n", verdict.rule,
             NameOf(kVerdictKindNames, verdict.kind()), verdict.judged,
             verdict.findings.size());
  const auto shown = std::min<std::size_t>(verdict.findings.size(),
                                           absl::GetFlag(FLAGS_findings));
  for (std::size_t i = 0; i < shown; ++i) {
    fmt::print("  {}\n", verdict.findings[i].message);
    for (const auto& event : verdict.findings[i].events)
      fmt::print("    {}\n", EncodeEvent(event));
  }
}

void Print(const history_measures& measures) {
  for (const auto& region : measures.headroom) {
    fmt::print("headroom {}: {} of {} slots free at peak load\n", region.region,
               region.slots - region.peak_in_flight, region.slots);
  }
  for (const auto& drain : measures.drains) {
    fmt::print("drain {}: {}\n", drain.target,
               drain.time
                   ? fmt::format("{:.1f} ms", drain.time->count() / 1000.0)
                   : std::string("not measured, a run has no recorded end"));
  }
}

// Prints each rule named by --require that is unknown or judged nothing, and
// returns whether there is one.
bool MissesRequired(const std::vector<rule_verdict>& verdicts) {
  bool misses = false;
  for (const auto& rule : absl::GetFlag(FLAGS_require)) {
    const auto found =
        std::find_if(verdicts.begin(), verdicts.end(),
                     [&](const auto& verdict) { return verdict.rule == rule; });
    if (found == verdicts.end() || found->judged == 0) {
      fmt::print("required rule judged nothing: {}\n", rule);
      misses = true;
    }
  }
  return misses;
}

int Run(const std::vector<std::string>& paths) {
  const auto events = ReadAll(paths);
  if (!events) {
    Log(log_level::kError, "history-unreadable",
        {{"code", NameOf(events.error().code)},
         {"detail", events.error().detail}});
    return kUsageExitCode;
  }
  const auto verdicts = JudgeHistory(events.value(), Limits());
  for (const auto& verdict : verdicts)
    Print(verdict);
  Print(MeasureHistory(history_index(events.value())));
  const bool misses = MissesRequired(verdicts);
  return AnyViolated(verdicts) || misses ? kViolationExitCode : 0;
}

}  // namespace
}  // namespace samphire

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "Checks recorded histories against the system's guarantees: "
      "samphire-check FILE...");
  const auto arguments = absl::ParseCommandLine(argc, argv);
  samphire::ConfigureLog("samphire-check", samphire::log_level::kInfo);
  const std::vector<std::string> paths(arguments.begin() + 1, arguments.end());
  if (paths.empty()) {
    samphire::Log(samphire::log_level::kError, "usage",
                  {{"detail", "no history file given"}});
    return samphire::kUsageExitCode;
  }
  return samphire::Run(paths);
}
