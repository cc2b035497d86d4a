#ifndef DISTRIBUTION_INSTANCE_LIST_H_
#define DISTRIBUTION_INSTANCE_LIST_H_

#include <string>
#include <vector>

#include "store/instance_info.h"

namespace samphire {

// The platform's instance list as last read, by this entry or a peer.
struct instance_list {
  std::vector<instance_info> instances;
  std::string digest;
};

// The list with its digest; the order of the instances makes no difference.
instance_list MakeInstanceList(std::vector<instance_info> instances);

}  // namespace samphire

#endif  // DISTRIBUTION_INSTANCE_LIST_H_
