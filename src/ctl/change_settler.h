#ifndef CTL_CHANGE_SETTLER_H_
#define CTL_CHANGE_SETTLER_H_

#include "ctl/change_id.h"
#include "ctl/command_context.h"
#include "ctl/exit_code.h"

namespace samphire {

// Makes a change of the configuration and says what came of it. A lost answer
// is settled by `id` in the history that any entry shows.
exit_code MakeChange(command_context& context,
                     const ctl_call& call,
                     const change_id& id);

// A fresh apply id.
change_id NewApplyId();

}  // namespace samphire

#endif  // CTL_CHANGE_SETTLER_H_
