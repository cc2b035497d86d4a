#ifndef CTL_COMMAND_LINE_H_
#define CTL_COMMAND_LINE_H_

#include <string>
#include <vector>

#include "base/result.h"

namespace samphire {

// What stands on the command line besides the flags.
struct command_line {
  std::vector<std::string> words;
  bool help = false;
};

// Sets the flags and returns the rest; kUsage for a flag that is not known or
// has a bad value.
result<command_line> ParseCommandLine(
    const std::vector<std::string>& arguments);

}  // namespace samphire

#endif  // CTL_COMMAND_LINE_H_
