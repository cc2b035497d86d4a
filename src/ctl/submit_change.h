#ifndef CTL_SUBMIT_CHANGE_H_
#define CTL_SUBMIT_CHANGE_H_

#include "ctl/change_id.h"
#include "ctl/command_context.h"
#include "ctl/exit_code.h"

namespace samphire {

// Sends `call`, which changes the configuration, and reports its outcome. If
// the response is lost, or the entry does not know the outcome, it is looked up
// by `id` in the configuration history of any entry that responds. Blocks until
// the outcome is known or the time limits in the options of `context` have
// passed; returns kUnknown if it is still unknown then.
exit_code SubmitChange(command_context& context,
                       const ctl_call& call,
                       const change_id& id);

// Returns a new random apply id (a UUID).
change_id NewApplyId();

}  // namespace samphire

#endif  // CTL_SUBMIT_CHANGE_H_
