#ifndef ROUTING_WEIGHTED_SPLIT_H_
#define ROUTING_WEIGHTED_SPLIT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/clock_source.h"
#include "routing/key_sample.h"
#include "routing/route_part.h"

namespace samphire {

// Divides one route's requests among its parts by weight. A key stays with its
// part while the shares allow it, so that targets of a part get requests for
// few keys often rather than for all keys rarely, and have them in memory. The
// parts and weights may change with each request. Not thread-safe.
class weighted_split {
 public:
  // A part and the number of requests that it got since its weight came.
  struct part_count {
    route_part part;
    std::uint64_t requests = 0;
  };

  // `seed` has to differ between entries, so that they don't all send their
  // first requests to the same part.
  explicit weighted_split(std::uint64_t seed = 0);

  // Returns the index of the part for the next request and counts it; 0 if
  // there are fewer than two parts. `key_hash` is the hash of the affinity key.
  std::size_t Choose(const std::vector<route_part>& parts,
                     std::uint64_t key_hash,
                     time_point now);

  // Whether the next request is divided by other parts or weights than the
  // counted ones.
  bool IsChangedBy(const std::vector<route_part>& parts) const;
  // What each part got since the present parts and weights came.
  const std::vector<part_count>& counts() const { return counts_; }
  // Whether nothing is known that matters at `now`.
  bool IsOutdated(time_point now) const { return sample_.IsOutdated(now); }

 private:
  void StartCounting(const std::vector<route_part>& parts);
  // Returns the parts' shares, corrected by what each lacks.
  std::vector<double> CorrectedShares() const;

  key_sample sample_;
  // The offset of the last request within its key's space.
  double offset_ = 0;
  std::vector<part_count> counts_;
  double total_weight_ = 0;
  // The requests that each part lacks to its share; negative if it got more.
  std::vector<double> lacks_;
};

}  // namespace samphire

#endif  // ROUTING_WEIGHTED_SPLIT_H_
