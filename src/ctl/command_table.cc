#include "ctl/command_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "ctl/commands.h"

namespace samphire {

namespace {

// A fleet's worth of files on one command line.
constexpr std::size_t kMaxLogFiles = 1000;

constexpr std::array<command, 15> kCommands{{
    {"check", "FILE", 1, 1, command_need::kNothing, CheckFile,
     "checks a declaration; needs no entry",
     "samphirectl check examples/nivel-claro.json"},
    {"apply", "FILE [--expect=VERSION] [--wait]", 1, 1, command_need::kOperator,
     ApplyFile, "brings a declaration into force as a whole, or refuses it",
     "samphirectl apply nivel-claro.json --expect=41 --wait --operator=rui"},
    {"status", "", 0, 0, command_need::kEntry, ShowStatus,
     "shows one entry's view of the fleet", "samphirectl status --output=json"},
    {"config show", "", 0, 0, command_need::kEntry, ShowConfig,
     "shows the declaration in force",
     "samphirectl config show > in-force.json"},
    {"config history", "", 0, 0, command_need::kEntry, ShowHistory,
     "shows who changed the declaration", "samphirectl config history"},
    {"drain add", "NAME --scope=S --subject=X --starts_at=T --deadline=T", 1, 1,
     command_need::kOperator, AddDrain, "declares a planned stop",
     "samphirectl drain add kandy-works --scope=failure_domain "
     "--subject=kandy-a --starts_at=2026-12-02T22:00:00Z "
     "--deadline=2026-12-02T22:30:00Z --operator=nimal"},
    {"drain remove", "NAME", 1, 1, command_need::kOperator, RemoveDrain,
     "takes a planned stop back",
     "samphirectl drain remove kandy-works --operator=nimal"},
    {"drain list", "", 0, 0, command_need::kEntry, ListDrains,
     "shows the planned stops", "samphirectl drain list"},
    {"ledger unresolved", "", 0, 0, command_need::kEntry, ListUnresolved,
     "shows the requests that may or may not have run",
     "samphirectl ledger unresolved"},
    {"ledger show", "KEY --service=S", 1, 1, command_need::kEntry, ShowLedger,
     "shows one reservation",
     "samphirectl ledger show claim-1187 --service=claims-desk"},
    {"ledger resolve", "KEY --service=S --as=done|released --reason=TEXT", 1, 1,
     command_need::kOperator, ResolveLedger, "settles a reservation in doubt",
     "samphirectl ledger resolve claim-1187 --service=claims-desk --as=done "
     "--reason=\"credit note found\" --operator=nimal"},
    {"witness", "ID", 1, 1, command_need::kOperator, WitnessProposal,
     "accepts another operator's proposal",
     "samphirectl witness 3f0c --operator=auditor"},
    {"explain", "LOG-FILE... REQUEST-ID", 2, kMaxLogFiles + 1,
     command_need::kNothing, ExplainRequest,
     "tells a request's story from the logs of entries",
     "samphirectl explain entry-1.log entry-2.log 9c41d07be2a35f68"},
    {"losses", "LOG-FILE...", 1, kMaxLogFiles, command_need::kNothing,
     SummarizeLosses,
     "tells from the logs of entries which requests were late or not served",
     "samphirectl losses entry-1.log entry-2.log"},
    {"lookup", "SERVICE [CLIENT-IP] --caller_url=URL", 1, 2,
     command_need::kCallerUrl, LookUp,
     "shows which entries a caller is told to use",
     "samphirectl lookup probe-api 127.30.2.7 "
     "--caller_url=http://127.0.1.1:8000"},
}};

constexpr std::string_view kHelpEnd = R"(
Every command but check, explain, losses and lookup needs
  --operator_url=URL[,URL...]  operator ports, tried in turn
  --token_file=FILE            the operator token
Commands that change something need --operator=NAME, which stays in the
history. --output=json prints the entry's whole answer.

Exit codes
  0  done
  1  refused, with a numbered code: docs/RESULT-CODES.md
  2  the command line is wrong
  3  the outcome is not known; the output says how to find out
)";

std::size_t WordCount(std::string_view name) {
  return 1 +
         static_cast<std::size_t>(std::count(name.begin(), name.end(), ' '));
}

bool Starts(const std::vector<std::string>& words, std::string_view name) {
  if (words.size() < WordCount(name))
    return false;
  const auto said = WordCount(name) == 1 ? words[0] : words[0] + " " + words[1];
  return said == name;
}

error Usage(const std::string& detail) {
  return MakeError(result_code::kUsage, detail);
}

// Said before anything is sent: a change that an entry refuses for want of a
// name would only cost the operator a round.
result<void> CheckNeeds(const command& found, const ctl_options& options) {
  const bool calls_entry = found.need == command_need::kEntry ||
                           found.need == command_need::kOperator;
  if (calls_entry && options.operator_urls.empty())
    return Usage("--operator_url is missing");
  if (calls_entry && options.token.empty())
    return Usage("--token_file is missing");
  if (found.need == command_need::kOperator && options.operator_name.empty())
    return Usage("--operator is missing");
  if (found.need == command_need::kCallerUrl && options.caller_url.empty())
    return Usage("--caller_url is missing");
  return Success();
}

}  // namespace

std::span<const command> CommandTable() {
  return kCommands;
}

result<const command*> FindCommand(const std::vector<std::string>& words,
                                   const ctl_options& options) {
  const auto* const found = std::find_if(
      kCommands.begin(), kCommands.end(),
      [&words](const auto& one) { return Starts(words, one.name); });
  if (found == kCommands.end())
    return Usage(words.empty() ? "no command" : "no such command");
  const auto behind = WordsBehind(*found, words).size();
  if (behind < found->min_words || behind > found->max_words)
    return Usage(fmt::format("{} {}", found->name, found->arguments));
  BOOST_OUTCOME_TRYV(CheckNeeds(*found, options));
  return found;
}

std::vector<std::string> WordsBehind(const command& found,
                                     const std::vector<std::string>& words) {
  return {words.begin() + static_cast<std::ptrdiff_t>(WordCount(found.name)),
          words.end()};
}

std::string HelpText() {
  std::string text = "samphirectl COMMAND [ARGUMENTS] [FLAGS]\n\n";
  for (const auto& one : kCommands) {
    text += fmt::format("  {} {}\n    {}\n    {}\n", one.name, one.arguments,
                        one.brief, one.example);
  }
  return text + std::string(kHelpEnd);
}

}  // namespace samphire
