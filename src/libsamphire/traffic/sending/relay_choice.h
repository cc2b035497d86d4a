#ifndef TRAFFIC_SENDING_RELAY_CHOICE_H_
#define TRAFFIC_SENDING_RELAY_CHOICE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "routing/entry_location.h"
#include "traffic/following/entry_list.h"

namespace samphire {

// Returns the peer addresses of the entries that may pass on a request, in the
// order in which to ask them: first those of this entry's region, then others.
// `home_regions` are the regions to which the request may be sent; any if
// empty. `seed` spreads requests over the entries.
std::vector<std::string> RelaysFor(const entry_list& entries,
                                   const entry_location& self,
                                   const std::vector<std::string>& home_regions,
                                   std::uint64_t seed);

}  // namespace samphire

#endif  // TRAFFIC_SENDING_RELAY_CHOICE_H_
