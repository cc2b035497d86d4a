#ifndef CTL_COMMANDS_H_
#define CTL_COMMANDS_H_

#include "ctl/command_context.h"
#include "ctl/exit_code.h"

namespace samphire {

// The commands of samphirectl, one function each. Each prints its outcome
// through the report in `context` and returns the exit code of the process.
exit_code CheckFile(command_context& context);
exit_code ApplyFile(command_context& context);
exit_code ShowStatus(command_context& context);
exit_code ShowConfig(command_context& context);
exit_code ShowHistory(command_context& context);
exit_code AddDrain(command_context& context);
exit_code RemoveDrain(command_context& context);
exit_code ListDrains(command_context& context);
exit_code ShowLedger(command_context& context);
exit_code ResolveLedger(command_context& context);
exit_code ListUnresolved(command_context& context);
exit_code WitnessProposal(command_context& context);
exit_code ExplainRequest(command_context& context);
exit_code SummarizeLosses(command_context& context);
exit_code LookUp(command_context& context);

}  // namespace samphire

#endif  // CTL_COMMANDS_H_
