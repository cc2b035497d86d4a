#ifndef EXPERIMENT_CALLER_GROUP_H_
#define EXPERIMENT_CALLER_GROUP_H_

#include <string>
#include <vector>

namespace samphire {

// Callers of one region.
struct caller_group {
  std::string region;
  // Addresses that they send from; one of them is drawn for each request.
  std::vector<std::string> sources;
  // Their part of all requests, relative to the other groups' shares.
  double share = 1;
};

}  // namespace samphire

#endif  // EXPERIMENT_CALLER_GROUP_H_
