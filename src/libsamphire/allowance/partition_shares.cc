#include "allowance/partition_shares.h"

#include <xxhash.h>

#include <algorithm>

namespace samphire {

namespace {

std::uint64_t Weight(std::uint32_t partition, const std::string& member) {
  return XXH3_64bits_withSeed(member.data(), member.size(), partition);
}

}  // namespace

partition_shares::partition_shares(const partition_views& partitions,
                                   std::uint32_t count,
                                   const std::set<std::string>& members) {
  const auto entries = static_cast<std::uint32_t>(members.size());
  min_share_ = entries == 0 ? 0 : count / entries;
  max_share_ = entries == 0 ? 0 : (count + entries - 1) / entries;
  for (const auto& member : members)
    owned_by_[member] = 0;
  for (std::uint32_t number = 0; number < count; ++number) {
    const auto partition = partitions.find(number);
    if (partition == partitions.end() || partition->second.record.owner.empty())
      ++vacant_;
    else if (const auto found = owned_by_.find(partition->second.record.owner);
             found != owned_by_.end())
      ++found->second;
  }
  for (const auto& [name, owned] : owned_by_)
    any_below_min_ = any_below_min_ || owned < min_share_;
}

std::uint32_t partition_shares::OwnedBy(const std::string& member) const {
  const auto found = owned_by_.find(member);
  return found == owned_by_.end() ? 0 : found->second;
}

// Only the member that owns the most partitions releases one, and only while
// none is vacant. If all members above the minimum share did so, more
// partitions than an entry that joins needs would be released at once, and
// their slots would be idle in the meantime.
bool partition_shares::ShouldRelease(const std::string& member) const {
  const auto own_count = OwnedBy(member);
  if (vacant_ > 0 || own_count <= min_share_)
    return false;
  for (const auto& [name, count] : owned_by_) {
    if (count > own_count || (count == own_count && name < member))
      return false;
  }
  return any_below_min_ || own_count > max_share_;
}

bool partition_shares::MayRelease(const std::string& member) const {
  return any_below_min_ && OwnedBy(member) > min_share_;
}

// Rendezvous hashing: each vacant partition has its own order of candidates.
// Otherwise all members would try to claim the same partition at once, and most
// of the writes would fail with version conflicts.
std::uint32_t partition_shares::RankFor(std::uint32_t partition,
                                        const std::string& member) const {
  const auto own_weight = Weight(partition, member);
  return static_cast<std::uint32_t>(
      std::count_if(owned_by_.begin(), owned_by_.end(), [&](const auto& other) {
        return other.first != member && other.second < max_share_ &&
               Weight(partition, other.first) > own_weight;
      }));
}

}  // namespace samphire
