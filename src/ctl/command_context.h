#ifndef CTL_COMMAND_CONTEXT_H_
#define CTL_COMMAND_CONTEXT_H_

#include <string>
#include <vector>

#include "ctl/ctl_options.h"
#include "ctl/operator_client.h"
#include "ctl/report.h"

namespace samphire {

// The inputs of one command: its options and arguments, the client that calls
// the entries, and the report that prints the outcome.
struct command_context {
  const ctl_options& options;
  // The arguments after the name of the command.
  std::vector<std::string> arguments;
  operator_client client;
  report out;
};

}  // namespace samphire

#endif  // CTL_COMMAND_CONTEXT_H_
