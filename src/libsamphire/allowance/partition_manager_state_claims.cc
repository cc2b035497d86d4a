#include <algorithm>

#include "allowance/partition_manager_state.h"

namespace samphire {

namespace {

// How many members look up an unreachable owner in the platform's instance
// list. If all members of a large region did so, the platform would have to
// serve as many reads of a long list. A few members are enough, and if they
// fail themselves, the next in rank take their place.
constexpr std::uint32_t kMaxListReaders = 3;
// How often a partition that is being released is checked for idleness.
constexpr milliseconds kIdleCheckInterval{100};

}  // namespace

// If the takeover delay has not passed yet, the next owner has to wait for the
// work of the former one as well, so the record passes the delay on.
std::optional<write_partition> partition_manager_state::Release(
    time_point now,
    const std::function<bool(std::uint32_t)>& is_idle) const {
  for (const auto& [number, partition] : owned_) {
    if (partition.releasing && is_idle(number)) {
      return write_partition{number,
                             partition.version,
                             {"", incarnation_, now < partition.usable_at}};
    }
  }
  return std::nullopt;
}

std::optional<write_partition> partition_manager_state::Claim(
    time_point now) const {
  if (leaving_)
    return std::nullopt;
  const auto shares = Shares();
  for (std::uint32_t number = 0; number < partition_count_; ++number) {
    const auto& partition = PartitionAt(number);
    if (IsOwnedByPredecessor(partition.record) || MayClaim(number, shares, now))
      return MakeClaim(number, partition);
  }
  return std::nullopt;
}

// An entry claims a vacant partition without extra delay up to its share among
// all entries that the platform lists, and beyond it only when no other entry
// has claimed the partition for a while. Otherwise the entry that starts first,
// and has not yet received any gossip, would claim the whole region and have to
// hand most of it over again.
bool partition_manager_state::MayClaim(std::uint32_t number,
                                       const partition_shares& shares,
                                       time_point now) const {
  const auto vacant = vacant_since_.find(number);
  if (vacant == vacant_since_.end() || !listed_.contains(self_))
    return false;
  const auto own_count = shares.OwnedBy(self_);
  if (own_count >= shares.max_share())
    return false;
  auto expected = members_;
  expected.insert(listed_.begin(), listed_.end());
  const bool within_share = own_count < partition_count_ / expected.size();
  const auto claim_delay =
      shares.RankFor(number, self_) * timing_.rank_delay +
      (within_share ? milliseconds(0) : timing_.extra_claim_delay);
  return now >= vacant->second + claim_delay;
}

write_partition partition_manager_state::MakeClaim(
    std::uint32_t number,
    const partition_view& partition) const {
  const bool released = partition.record.owner.empty();
  const bool needs_takeover_delay =
      released ? partition.record.needs_takeover_delay : true;
  return {
      number, partition.version, {self_, incarnation_, needs_takeover_delay}};
}

bool partition_manager_state::IsOwned(const partition_record& record) const {
  return record.owner == self_ && record.incarnation == incarnation_;
}

bool partition_manager_state::IsOwnedByPredecessor(
    const partition_record& record) const {
  return record.owner == self_ && record.incarnation != incarnation_;
}

bool partition_manager_state::IsOwnerUnreachable(
    const partition_record& record) const {
  return !record.owner.empty() && record.owner != kUnreadableOwner &&
         !members_.contains(record.owner);
}

// An owner counts as gone only if it is also unreachable by gossip. Should the
// list lack an instance that is alive, its partition must not get a second
// owner.
bool partition_manager_state::IsVacant(const partition_record& record) const {
  return record.owner.empty() ||
         (IsOwnerUnreachable(record) && owner_absences_.IsGone(record.owner));
}

std::vector<std::string> partition_manager_state::UnreachableOwners() const {
  const auto shares = Shares();
  std::set<std::string> names;
  for (const auto& [number, partition] : partitions_) {
    if (number < partition_count_ && IsOwnerUnreachable(partition.record) &&
        shares.RankFor(number, self_) < kMaxListReaders)
      names.insert(partition.record.owner);
  }
  return {names.begin(), names.end()};
}

bool partition_manager_state::NeedsInstanceList() const {
  if (leaving_)
    return false;
  return !UnreachableOwners().empty() ||
         (!vacant_since_.empty() && !listed_.contains(self_));
}

bool partition_manager_state::IsBalanced() const {
  const auto shares = Shares();
  return vacant_since_.empty() && !AnyReleasing() &&
         UnreachableOwners().empty() &&
         shares.OwnedBy(self_) >= shares.min_share() &&
         !shares.MayRelease(self_);
}

time_point partition_manager_state::NextWakeup(time_point now) const {
  auto wake = next_read_at_;
  if (NeedsInstanceList())
    wake = std::min(wake, next_list_check_at_);
  if (!vacant_since_.empty())
    wake = std::min(wake, now + timing_.rank_delay);
  for (const auto& [number, partition] : owned_) {
    if (partition.releasing)
      wake = std::min(wake, now + kIdleCheckInterval);
  }
  if (const auto usable = NextUsableAt(now))
    wake = std::min(wake, *usable);
  return wake;
}

const partition_view& partition_manager_state::PartitionAt(
    std::uint32_t number) const {
  static const partition_view never_written;
  const auto found = partitions_.find(number);
  return found == partitions_.end() ? never_written : found->second;
}

bool partition_manager_state::AnyReleasing() const {
  return std::any_of(owned_.begin(), owned_.end(),
                     [](const auto& item) { return item.second.releasing; });
}

partition_shares partition_manager_state::Shares() const {
  return {partitions_, partition_count_, members_};
}

}  // namespace samphire
