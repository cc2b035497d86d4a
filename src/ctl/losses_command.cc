#include <fstream>
#include <string>

#include "ctl/commands.h"
#include "history/log_losses.h"

namespace samphire {

// Works on files alone: whoever asks why a quarter of an hour was bad has the
// logs of entries that may be long gone.
exit_code SummarizeLosses(command_context& context) {
  log_losses losses;
  for (const auto& path : context.words) {
    std::ifstream file(path);
    if (!file)
      return context.out.Refused(MakeError(result_code::kFileUnreadable, path));
    for (std::string line; std::getline(file, line);)
      losses.Read(line);
  }
  return context.out.Done(losses.Text());
}

}  // namespace samphire
