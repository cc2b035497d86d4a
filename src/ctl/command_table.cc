#include "ctl/command_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "ctl/commands.h"

namespace samphire {

namespace {

// Bounds the log files on one command line; enough for one file from each entry
// of a large fleet.
constexpr std::size_t kMaxLogFiles = 1000;

constexpr std::array<command, 15> kCommands{{
    {"check", "FILE", 1, 1, command_prerequisite::kNone, CheckFile,
     "validates a declaration locally, without an entry",
     "samphirectl check examples/nivel-claro.json"},
    {"apply", "FILE [--expect=VERSION] [--wait]", 1, 1,
     command_prerequisite::kOperator, ApplyFile,
     "applies a declaration atomically, or refuses it",
     "samphirectl apply nivel-claro.json --expect=41 --wait --operator=rui"},
    {"status", "", 0, 0, command_prerequisite::kEntry, ShowStatus,
     "shows one entry's view of the fleet", "samphirectl status --output=json"},
    {"config show", "", 0, 0, command_prerequisite::kEntry, ShowConfig,
     "shows the declaration in force",
     "samphirectl config show > in-force.json"},
    {"config history", "", 0, 0, command_prerequisite::kEntry, ShowHistory,
     "shows who changed the declaration", "samphirectl config history"},
    {"drain add", "NAME --scope=S --subject=X --starts_at=T --deadline=T", 1, 1,
     command_prerequisite::kOperator, AddDrain, "declares a planned stop",
     "samphirectl drain add kandy-works --scope=failure_domain "
     "--subject=kandy-a --starts_at=2026-12-02T22:00:00Z "
     "--deadline=2026-12-02T22:30:00Z --operator=nimal"},
    {"drain remove", "NAME", 1, 1, command_prerequisite::kOperator, RemoveDrain,
     "removes a planned stop",
     "samphirectl drain remove kandy-works --operator=nimal"},
    {"drain list", "", 0, 0, command_prerequisite::kEntry, ListDrains,
     "shows the planned stops", "samphirectl drain list"},
    {"ledger unresolved", "", 0, 0, command_prerequisite::kEntry,
     ListUnresolved, "shows the requests that may or may not have run",
     "samphirectl ledger unresolved"},
    {"ledger show", "KEY --service=S", 1, 1, command_prerequisite::kEntry,
     ShowLedger, "shows one reservation",
     "samphirectl ledger show claim-1187 --service=claims-desk"},
    {"ledger resolve", "KEY --service=S --as=done|released --reason=TEXT", 1, 1,
     command_prerequisite::kOperator, ResolveLedger,
     "resolves a reservation whose outcome is unknown",
     "samphirectl ledger resolve claim-1187 --service=claims-desk --as=done "
     "--reason=\"credit note found\" --operator=nimal"},
    {"witness", "ID", 1, 1, command_prerequisite::kOperator, WitnessProposal,
     "accepts another operator's proposal",
     "samphirectl witness 3f0c --operator=auditor"},
    {"explain", "LOG-FILE... REQUEST-ID", 2, kMaxLogFiles + 1,
     command_prerequisite::kNone, ExplainRequest,
     "shows the history of a request from the logs of entries",
     "samphirectl explain entry-1.log entry-2.log 9c41d07be2a35f68"},
    {"losses", "LOG-FILE...", 1, kMaxLogFiles, command_prerequisite::kNone,
     SummarizeLosses,
     "summarizes late and unserved requests from the logs of entries",
     "samphirectl losses entry-1.log entry-2.log"},
    {"lookup", "SERVICE [CLIENT-IP] --caller_url=URL", 1, 2,
     command_prerequisite::kCallerUrl, LookUp,
     "shows the entries that a lookup returns to a caller",
     "samphirectl lookup probe-api 127.30.2.7 "
     "--caller_url=http://127.0.1.1:8000"},
}};

constexpr std::string_view kHelpFooter = R"(
Every command but check, explain, losses and lookup needs
  --operator_url=URL[,URL...]  operator ports, tried in turn
  --token_file=FILE            the operator token
Commands that change something need --operator=NAME, which stays in the
history. --output=json prints the entry's complete response.

Exit codes
  0  done
  1  refused, with a numbered code: docs/RESULT-CODES.md
  2  the command line is wrong
  3  the outcome is not known; the output says how to find out
)";

// Returns the number of words in the name of a command.
std::size_t WordCount(std::string_view name) {
  return 1 +
         static_cast<std::size_t>(std::count(name.begin(), name.end(), ' '));
}

// Returns whether `positional` starts with the words of `name`.
bool MatchesName(const std::vector<std::string>& positional,
                 std::string_view name) {
  if (positional.size() < WordCount(name))
    return false;
  const auto given_name = WordCount(name) == 1
                              ? positional[0]
                              : positional[0] + " " + positional[1];
  return given_name == name;
}

error Usage(const std::string& detail) {
  return MakeError(result_code::kUsage, detail);
}

// Checks the required flags before anything is sent: an entry would refuse a
// change without an operator name anyway, after a needless round trip.
result<void> CheckPrerequisites(const command& found,
                                const ctl_options& options) {
  const bool calls_entry =
      found.prerequisite == command_prerequisite::kEntry ||
      found.prerequisite == command_prerequisite::kOperator;
  if (calls_entry && options.operator_urls.empty())
    return Usage("--operator_url is missing");
  if (calls_entry && options.token.empty())
    return Usage("--token_file is missing");
  if (found.prerequisite == command_prerequisite::kOperator &&
      options.operator_name.empty())
    return Usage("--operator is missing");
  if (found.prerequisite == command_prerequisite::kCallerUrl &&
      options.caller_url.empty())
    return Usage("--caller_url is missing");
  return Success();
}

}  // namespace

std::span<const command> CommandTable() {
  return kCommands;
}

result<const command*> FindCommand(const std::vector<std::string>& positional,
                                   const ctl_options& options) {
  const auto* const found = std::find_if(
      kCommands.begin(), kCommands.end(), [&positional](const auto& one) {
        return MatchesName(positional, one.name);
      });
  if (found == kCommands.end())
    return Usage(positional.empty() ? "no command" : "no such command");
  const auto argument_count = CommandArguments(*found, positional).size();
  if (argument_count < found->min_arguments ||
      argument_count > found->max_arguments)
    return Usage(fmt::format("{} {}", found->name, found->arguments));
  BOOST_OUTCOME_TRYV(CheckPrerequisites(*found, options));
  return found;
}

std::vector<std::string> CommandArguments(
    const command& found,
    const std::vector<std::string>& positional) {
  return {
      positional.begin() + static_cast<std::ptrdiff_t>(WordCount(found.name)),
      positional.end()};
}

std::string HelpText() {
  std::string text = "samphirectl COMMAND [ARGUMENTS] [FLAGS]\n\n";
  for (const auto& one : kCommands) {
    text += fmt::format("  {} {}\n    {}\n    {}\n", one.name, one.arguments,
                        one.summary, one.example);
  }
  return text + std::string(kHelpFooter);
}

}  // namespace samphire
