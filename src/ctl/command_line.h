#ifndef CTL_COMMAND_LINE_H_
#define CTL_COMMAND_LINE_H_

#include <string>
#include <vector>

#include "base/result.h"

namespace samphire {

// The parsed command line without the flags, which Abseil stores globally.
struct command_line {
  // The arguments that are not flags: the name of the command, then its
  // arguments.
  std::vector<std::string> positional;
  // Whether --help was given.
  bool help = false;
};

// Sets the Abseil flags from `arguments` (without the program name) and returns
// the rest. Fails with kUsage for a flag that is unknown or has a bad value.
result<command_line> ParseCommandLine(
    const std::vector<std::string>& arguments);

}  // namespace samphire

#endif  // CTL_COMMAND_LINE_H_
