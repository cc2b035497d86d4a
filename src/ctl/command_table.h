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

// What a command can't do without.
enum class command_need { kNothing, kEntry, kOperator, kCallerUrl };

struct command {
  // One word or two, with a space.
  std::string_view name;
  std::string_view arguments;
  std::size_t min_words = 0;
  std::size_t max_words = 0;
  command_need need = command_need::kNothing;
  exit_code (*run)(command_context& context) = nullptr;
  std::string_view brief;
  std::string_view example;
};

std::span<const command> CommandTable();

// The command that `words` start with; kUsage if there is none, if the words
// behind it are too few or too many, or if a flag that it needs is missing.
result<const command*> FindCommand(const std::vector<std::string>& words,
                                   const ctl_options& options);

// The words behind the command's own.
std::vector<std::string> WordsBehind(const command& found,
                                     const std::vector<std::string>& words);

std::string HelpText();

}  // namespace samphire

#endif  // CTL_COMMAND_TABLE_H_
