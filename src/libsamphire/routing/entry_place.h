#ifndef ROUTING_ENTRY_PLACE_H_
#define ROUTING_ENTRY_PLACE_H_

#include <string>

namespace samphire {

// Which entry decides, and where it stands.
struct entry_place {
  std::string instance;
  std::string failure_domain;
  std::string region;
};

}  // namespace samphire

#endif  // ROUTING_ENTRY_PLACE_H_
