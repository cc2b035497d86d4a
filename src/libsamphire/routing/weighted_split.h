#ifndef ROUTING_WEIGHTED_SPLIT_H_
#define ROUTING_WEIGHTED_SPLIT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "routing/route_part.h"

namespace samphire {

// Divides one route's requests among its parts by weight. A key stays with its
// part while the shares allow it, so that targets of a part get requests for
// few keys often rather than for all keys rarely, and have them in memory. Not
// thread-safe.
class weighted_split {
 public:
  // Returns the index of the part for the next request and counts it; 0 if
  // there are fewer than two parts. `key_hash` is the hash of the affinity key.
  std::size_t Choose(const std::vector<route_part>& parts,
                     std::uint64_t key_hash);

 private:
  // Recent requests by part, with exponentially decreasing weight.
  std::vector<double> counts_;
};

}  // namespace samphire

#endif  // ROUTING_WEIGHTED_SPLIT_H_
