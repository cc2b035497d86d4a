#ifndef TRAFFIC_SOURCE_PLAN_H_
#define TRAFFIC_SOURCE_PLAN_H_

#include <cstddef>
#include <string>
#include <vector>

#include "routing/entry_location.h"
#include "traffic/entry_list.h"
#include "traffic/source_role.h"

namespace samphire {

// Whom an entry asks for changes of the platform's objects.
struct source_plan {
  source_role role = source_role::kWatcher;
  // Peer addresses in the order in which to ask them; this entry is not among
  // them, and a watcher asks none.
  std::vector<std::string> watchers;
  std::vector<std::string> deputies;
};

// All entries that know the same others agree on who watches.
source_plan PlanSources(const entry_location& self, const entry_list& entries);

// Returns up to two of `deputies` to ask next. `stale_rounds` is the number of
// preceding rounds in which peers had no fresh copy; successive rounds cycle
// through all deputies.
std::vector<std::string> DeputiesToAsk(const std::vector<std::string>& deputies,
                                       std::size_t stale_rounds);

}  // namespace samphire

#endif  // TRAFFIC_SOURCE_PLAN_H_
