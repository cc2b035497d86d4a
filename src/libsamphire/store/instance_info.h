#ifndef STORE_INSTANCE_INFO_H_
#define STORE_INSTANCE_INFO_H_

#include <string>
#include <vector>

#include "store/instance_state.h"

namespace samphire {

// One element of the platform's instance list, which holds entries and targets
// alike and may lag behind reality. An instance that the list contained once
// and does not contain any more is gone.
struct instance_info {
  // Unique in the fleet.
  std::string name;
  // "entry" or "target".
  std::string role;
  // IP:PORT.
  std::string address;
  std::string region;
  std::string failure_domain;
  instance_state state = instance_state::kLive;
};

// The platform's instance list as it was read.
struct instance_listing {
  std::vector<instance_info> instances;
  // Number of elements that could not be read.
  int unreadable = 0;
};

}  // namespace samphire

#endif  // STORE_INSTANCE_INFO_H_
