#ifndef DISTRIBUTION_INSTANCE_LIST_H_
#define DISTRIBUTION_INSTANCE_LIST_H_

#include <string>
#include <vector>

#include "store/instance_info.h"

namespace samphire {

// The platform's instance list as last read by this entry or by a peer.
struct instance_list {
  std::vector<instance_info> instances;
  // Digest of the sorted instances, see ContentDigest.
  std::string digest;
};

// Sorts the instances by name and adds the digest, which therefore doesn't
// depend on their order.
instance_list MakeInstanceList(std::vector<instance_info> instances);

}  // namespace samphire

#endif  // DISTRIBUTION_INSTANCE_LIST_H_
