#ifndef STORE_INSTANCE_INFO_H_
#define STORE_INSTANCE_INFO_H_

#include <string>

#include "store/instance_state.h"

namespace samphire {

// One line of the platform's lagging list of instances, entries and targets
// alike. An instance that the list once held and holds no more is gone.
struct instance_info {
  std::string name;
  // "entry" or "target".
  std::string role;
  std::string address;
  std::string region;
  std::string failure_domain;
  instance_state state = instance_state::kLive;
};

}  // namespace samphire

#endif  // STORE_INSTANCE_INFO_H_
