#ifndef GATEWAY_REGION_CHOICE_H_
#define GATEWAY_REGION_CHOICE_H_

#include <string>
#include <vector>

#include "base/clock_source.h"
#include "front/response_status.h"
#include "gateway/deployment.h"

namespace samphire {

// What is known of a region when a request looks for one.
struct region_option {
  std::string name;
  // The entry's own region, whose targets it admits to itself.
  bool own = false;
  // Live entries are known there.
  bool reachable = false;
  // Gossip told of free slots of the service.
  bool has_room = false;
};

// The regions to try, in order: at most two, and a second only where there is
// room for the load that the first refuses.
std::vector<std::string> ChooseRegions(
    const std::vector<region_option>& regions);

// Whether a request that ended like this may be shifted to the next region.
bool MayShift(const response_status& note);

}  // namespace samphire

#endif  // GATEWAY_REGION_CHOICE_H_
