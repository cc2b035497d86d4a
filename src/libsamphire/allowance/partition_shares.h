#ifndef ALLOWANCE_PARTITION_SHARES_H_
#define ALLOWANCE_PARTITION_SHARES_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "allowance/partition_view.h"

namespace samphire {

// Distribution of a region's slot partitions over its members at one moment.
// Immutable, so it may be read from any thread.
class partition_shares {
 public:
  // `count` is the number of partitions of the region.
  partition_shares(const partition_views& partitions,
                   std::uint32_t count,
                   const std::set<std::string>& members);

  // Bounds of an even share: the number of partitions per member, rounded down
  // and rounded up.
  std::uint32_t min_share() const { return min_share_; }
  std::uint32_t max_share() const { return max_share_; }
  std::uint32_t OwnedBy(const std::string& member) const;

  // Whether `member` is the one that should release a partition now, so that a
  // member with less than an even share can claim it.
  bool ShouldRelease(const std::string& member) const;

  // Whether `member` may have to release a partition soon, because it owns more
  // than the minimum share and another member owns less than that.
  bool MayRelease(const std::string& member) const;

  // Number of other members that own less than the maximum share and precede
  // `member` in the order of candidates for this partition.
  std::uint32_t RankFor(std::uint32_t partition,
                        const std::string& member) const;

 private:
  std::uint32_t min_share_ = 0;
  std::uint32_t max_share_ = 0;
  std::uint32_t vacant_ = 0;
  bool any_below_min_ = false;
  std::map<std::string, std::uint32_t> owned_by_;
};

}  // namespace samphire

#endif  // ALLOWANCE_PARTITION_SHARES_H_
