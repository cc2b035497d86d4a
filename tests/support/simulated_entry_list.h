#ifndef SUPPORT_SIMULATED_ENTRY_LIST_H_
#define SUPPORT_SIMULATED_ENTRY_LIST_H_

#include "membership/membership_core.h"
#include "traffic/following/entry_list_builder.h"

namespace samphire {

// Returns the list of entries that an entry with this view of the fleet
// publishes. `ready` and `leaving` tell its own state.
boost::intrusive_ptr<const entry_list> BuildEntryList(
    membership_core& core,
    entry_list_builder& builder,
    time_point now,
    bool ready = true,
    bool leaving = false);

}  // namespace samphire

#endif  // SUPPORT_SIMULATED_ENTRY_LIST_H_
