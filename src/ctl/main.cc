#include <fmt/format.h>

#include <exception>
#include <string>
#include <vector>

#include "ctl/command_line.h"
#include "ctl/command_table.h"

namespace samphire {

namespace {

// Parses the command line and runs one command.
exit_code Run(const std::vector<std::string>& arguments) {
  const report plain(output_format::kText);
  const auto line = ParseCommandLine(arguments);
  if (!line)
    return plain.Usage(line.error());
  if (line.value().help) {
    fmt::print("{}", HelpText());
    return exit_code::kDone;
  }
  const auto options = OptionsFromFlags();
  if (!options)
    return plain.Usage(options.error());
  const report out(options.value().output);
  const auto found = FindCommand(line.value().positional, options.value());
  if (!found)
    return out.Usage(found.error());
  command_context context{
      options.value(),
      CommandArguments(*found.value(), line.value().positional),
      operator_client(options.value().operator_urls, options.value().token,
                      options.value().timeout),
      out};
  return found.value()->run(context);
}

}  // namespace

}  // namespace samphire

// After an unexpected exception it is unknown whether the entry executed the
// call, so the exit code is kUnknown.
int main(int argc, char** argv) {
  try {
    return static_cast<int>(
        samphire::Run(std::vector<std::string>(argv + 1, argv + argc)));
  } catch (const std::exception& exception) {
    fmt::print(
        stderr,
        "unexpected error: {}\nTo find out what was changed: samphirectl "
        "config history\n",
        exception.what());
    return static_cast<int>(samphire::exit_code::kUnknown);
  }
}
