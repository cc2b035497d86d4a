#ifndef ROUTING_WEIGHTED_SPLIT_H_
#define ROUTING_WEIGHTED_SPLIT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "routing/route_part.h"

namespace samphire {

// Divides one route's requests among its parts by weight. A key keeps its part
// where the shares allow it, so that a part's targets see few keys often
// rather than all keys seldom. Not thread-safe.
class weighted_split {
 public:
  // The part for the next request. `key_hash` is the affinity key's.
  std::size_t Choose(const std::vector<route_part>& parts,
                     std::uint64_t key_hash);

 private:
  // Requests given to each part lately; old ones count less.
  std::vector<double> given_;
};

}  // namespace samphire

#endif  // ROUTING_WEIGHTED_SPLIT_H_
