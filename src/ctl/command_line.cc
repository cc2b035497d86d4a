#include "ctl/command_line.h"

#include <absl/flags/reflection.h>

#include <string_view>

namespace samphire {

namespace {

constexpr std::string_view kFlagStart = "--";

error Usage(const std::string& detail) {
  return MakeError(result_code::kUsage, detail);
}

// A switch needs no value, so the word behind it is not one.
std::string ValueWithout(const absl::CommandLineFlag& flag) {
  return flag.IsOfType<bool>() ? "true" : "";
}

}  // namespace

// Abseil's own parser ends the process with 1 on a bad flag, which here means
// that an entry refused; so its flags are set one by one, and a mistake of the
// command line ends with 2.
result<command_line> ParseCommandLine(
    const std::vector<std::string>& arguments) {
  command_line parsed;
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    const std::string_view argument = arguments[i];
    if (!argument.starts_with(kFlagStart)) {
      parsed.words.emplace_back(argument);
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
    std::string value = ValueWithout(*flag);
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
