#include "ctl/commands.h"
#include "ctl/log_files.h"
#include "history/loss_summary.h"

namespace samphire {

exit_code SummarizeLosses(command_context& context) {
  loss_summary losses;
  const auto read = ReadLogFiles(
      context.arguments, [&](std::string_view line) { losses.Read(line); });
  if (!read)
    return context.out.Refused(read.error());
  return context.out.Done(losses.Text());
}

}  // namespace samphire
