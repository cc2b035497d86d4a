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

ABSL_FLAG(std::string, declaration, "", "take the shift caps from this file");
ABSL_FLAG(std::vector<std::string>,
          require,
          {},
          "RULE,...: broken as well when these could not be judged");
ABSL_FLAG(std::uint32_t, leaving_ms, 3000, "longest from leaving to no work");
ABSL_FLAG(std::uint32_t,
          in_force_ms,
          9000,
          "longest from accepted to in force");
ABSL_FLAG(std::uint32_t, at_once_ms, 250, "longest until a refusal");
ABSL_FLAG(std::uint32_t, findings, 5, "how many findings of a rule are shown");

namespace samphire {
namespace {

constexpr int kBrokenExitCode = 1;
constexpr int kUsageExitCode = 2;

history_limits Limits() {
  return {.leaving = milliseconds(absl::GetFlag(FLAGS_leaving_ms)),
          .in_force = milliseconds(absl::GetFlag(FLAGS_in_force_ms)),
          .at_once = milliseconds(absl::GetFlag(FLAGS_at_once_ms))};
}

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
    fmt::print("  {}\n", verdict.findings[i].why);
    for (const auto& event : verdict.findings[i].events)
      fmt::print("    {}\n", EncodeEvent(event));
  }
}

void Print(const history_measures& measures) {
  for (const auto& region : measures.headroom) {
    fmt::print("headroom {}: {} of {} slots free at the busiest moment\n",
               region.region, region.slots - region.peak_in_flight,
               region.slots);
  }
  for (const auto& drain : measures.drains) {
    fmt::print("drain {}: {}\n", drain.target,
               drain.time
                   ? fmt::format("{:.1f} ms", drain.time->count() / 1000.0)
                   : std::string("a run never ended"));
  }
}

// Whether a rule that must say something said nothing.
bool MissesRequired(const std::vector<rule_verdict>& verdicts) {
  bool misses = false;
  for (const auto& rule : absl::GetFlag(FLAGS_require)) {
    const auto found =
        std::find_if(verdicts.begin(), verdicts.end(),
                     [&](const auto& verdict) { return verdict.rule == rule; });
    if (found == verdicts.end() || found->judged == 0) {
      fmt::print("required, but not judged: {}\n", rule);
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
  return AnyBroken(verdicts) || misses ? kBrokenExitCode : 0;
}

}  // namespace
}  // namespace samphire

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Judges histories: samphire-check FILE...");
  const auto arguments = absl::ParseCommandLine(argc, argv);
  samphire::ConfigureLog("samphire-check", samphire::log_level::kInfo);
  const std::vector<std::string> paths(arguments.begin() + 1, arguments.end());
  if (paths.empty()) {
    samphire::Log(samphire::log_level::kError, "usage",
                  {{"detail", "name at least one history"}});
    return samphire::kUsageExitCode;
  }
  return samphire::Run(paths);
}
