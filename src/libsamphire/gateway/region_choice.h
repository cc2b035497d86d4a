#ifndef GATEWAY_REGION_CHOICE_H_
#define GATEWAY_REGION_CHOICE_H_

#include <string>
#include <vector>

#include "base/clock_source.h"
#include "front/response_status.h"
#include "gateway/deployment.h"

namespace samphire {

// What is known of a region when one is chosen for a request.
struct region_candidate {
  std::string name;
  // Whether this is the entry's own region, to whose targets it admits requests
  // itself.
  bool own = false;
  // Whether live entries are known in the region.
  bool reachable = false;
  // Whether gossip reported free slots of the service in the region; see
  // peer_directory.
  bool has_free_slots = false;
};

// Returns the regions to try, in the order of the candidates: at most two, and
// a second one only if it is the own region or has free slots for the load that
// the first refuses.
std::vector<std::string> ChooseRegions(
    const std::vector<region_candidate>& regions);

// Whether a request that ended with this status may be shifted to the next
// region.
bool MayShift(const response_status& status);

}  // namespace samphire

#endif  // GATEWAY_REGION_CHOICE_H_
