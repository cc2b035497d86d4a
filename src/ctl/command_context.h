#ifndef CTL_COMMAND_CONTEXT_H_
#define CTL_COMMAND_CONTEXT_H_

#include <string>
#include <vector>

#include "ctl/ctl_options.h"
#include "ctl/operator_client.h"
#include "ctl/report.h"

namespace samphire {

// What one command works with.
struct command_context {
  const ctl_options& options;
  // The words behind the command's own.
  std::vector<std::string> words;
  operator_client client;
  report out;
};

}  // namespace samphire

#endif  // CTL_COMMAND_CONTEXT_H_
