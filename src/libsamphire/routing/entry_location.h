#ifndef ROUTING_ENTRY_LOCATION_H_
#define ROUTING_ENTRY_LOCATION_H_

#include <string>

namespace samphire {

// Identifies an entry process and the failure domain and region it runs in.
struct entry_location {
  std::string instance;
  std::string failure_domain;
  std::string region;
};

}  // namespace samphire

#endif  // ROUTING_ENTRY_LOCATION_H_
