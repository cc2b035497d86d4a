#ifndef TRAFFIC_WATCHER_CHOICE_H_
#define TRAFFIC_WATCHER_CHOICE_H_

#include <string>
#include <vector>

#include "routing/entry_place.h"
#include "traffic/entry_list.h"

namespace samphire {

// Peer addresses of the entries that watch the platform for their region, in
// the order in which `self` is to ask them; none if it is one of them.
std::vector<std::string> WatchersFor(const entry_place& self,
                                     const entry_list& entries);

}  // namespace samphire

#endif  // TRAFFIC_WATCHER_CHOICE_H_
