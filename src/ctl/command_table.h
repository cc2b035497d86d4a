#ifndef CTL_COMMAND_TABLE_H_
#define CTL_COMMAND_TABLE_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "ctl/command_context.h"
#include "ctl/exit_code.h"

namespace samphire {

// The flags that a command requires. kNone: none. kEntry: --operator_url and
// --token_file. kOperator: those and --operator, the name recorded in the
// history. kCallerUrl: --caller_url.
enum class command_prerequisite { kNone, kEntry, kOperator, kCallerUrl };

// One row of the command table: how a command is called, how it is described in
// the help text, and the function that runs it.
struct command {
  // One word, or two words separated by a space.
  std::string_view name;
  // The arguments and flags as the help text shows them.
  std::string_view arguments;
  // Bounds on the number of arguments after the name, inclusive.
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  command_prerequisite prerequisite = command_prerequisite::kNone;
  exit_code (*run)(command_context& context) = nullptr;
  std::string_view summary;
  std::string_view example;
};

// Returns all commands in the order of the help text.
std::span<const command> CommandTable();

// Returns the command whose name `positional` starts with. Fails with kUsage if
// there is none, if the number of arguments after the name is out of bounds, or
// if a required flag is missing.
result<const command*> FindCommand(const std::vector<std::string>& positional,
                                   const ctl_options& options);

// Returns the arguments after the name of the command.
std::vector<std::string> CommandArguments(
    const command& found,
    const std::vector<std::string>& positional);

// Returns the text that --help prints.
std::string HelpText();

}  // namespace samphire

#endif  // CTL_COMMAND_TABLE_H_
