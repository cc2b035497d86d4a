#include "ctl/command_line.h"

#include <absl/flags/reflection.h>

#include <string_view>

namespace samphire {

namespace {

// The prefix that distinguishes a flag from a positional argument.
constexpr std::string_view kFlagStart = "--";

error Usage(const std::string& detail) {
  return MakeError(result_code::kUsage, detail);
}

// Returns the value of a flag that is given without "=". A boolean flag is set
// to true, and the next argument is not its value; any other flag takes the
// next argument (empty here).
std::string ImpliedValue(const absl::CommandLineFlag& flag) {
  return flag.IsOfType<bool>() ? "true" : "";
}

}  // namespace

// Flags are set one by one because Abseil's own parser exits with 1 on a bad
// flag, which here means that an entry refused the call; an error on the
// command line exits with 2.
result<command_line> ParseCommandLine(
    const std::vector<std::string>& arguments) {
  command_line parsed;
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string_view argument = arguments[i];
    if (!argument.starts_with(kFlagStart)) {
      parsed.positional.emplace_back(argument);
      continue;
    }
    const auto equals = argument.find('=');
    const auto name = argument.substr(
        kFlagStart.size(),
        equals == std::string_view::npos ? equals : equals - kFlagStart.size());
    if (name == "help") {
      parsed.help = true;
      continue;
    }
    auto* flag = absl::FindCommandLineFlag(std::string(name));
    if (flag == nullptr)
      return Usage("unknown flag: --" + std::string(name));
    std::string value = ImpliedValue(*flag);
    if (equals != std::string_view::npos)
      value = argument.substr(equals + 1);
    else if (value.empty() && ++i < arguments.size())
      value = arguments[i];
    std::string complaint;
    if (value.empty() || !flag->ParseFrom(value, &complaint))
      return Usage("bad value for --" + std::string(name) + " " + complaint);
  }
  return parsed;
}

}  // namespace samphire
