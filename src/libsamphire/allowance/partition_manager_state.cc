#include "allowance/partition_manager_state.h"

#include <algorithm>
#include <utility>

namespace samphire {

namespace {

// Number of reads of the instance list within the time of absence after which
// an instance counts as gone.
constexpr int kListReadsUntilGone = 5;

}  // namespace

partition_manager_state::partition_manager_state(std::string self,
                                                 std::string region,
                                                 std::uint64_t incarnation,
                                                 const partition_timing& timing,
                                                 time_point start)
    : self_(std::move(self)),
      region_(std::move(region)),
      incarnation_(incarnation),
      timing_(timing),
      members_{self_},
      owner_absences_(timing.gone_after),
      next_read_at_(start),
      next_list_check_at_(start),
      busy_interval_(timing.busy_read_interval) {}

void partition_manager_state::SetPartitions(std::uint32_t count,
                                            duration takeover_delay) {
  if (count != partition_count_) {
    view_current_ = false;
    next_read_at_ = time_point();
  }
  partition_count_ = count;
  takeover_delay_ = takeover_delay;
}

void partition_manager_state::SetMembers(
    const std::vector<std::string>& members,
    time_point now) {
  std::set<std::string> present(members.begin(), members.end());
  present.insert(self_);
  if (present == members_)
    return;
  members_ = std::move(present);
  ScheduleEarlyRead(now);
}

void partition_manager_state::SetLeaving(time_point now) {
  leaving_ = true;
  StartReleases();
  ScheduleEarlyRead(now);
}

// After a change, the partitions are read soon, but the jitter keeps the
// members from reading them all at the same instant.
void partition_manager_state::ScheduleEarlyRead(time_point now) {
  busy_interval_ = timing_.busy_read_interval;
  const auto spread = std::chrono::duration_cast<duration>(
      timing_.busy_read_interval * timing_.jitter);
  next_read_at_ = std::min(next_read_at_, now + spread);
}

void partition_manager_state::OnPartitions(const partition_views& partitions,
                                           time_point now) {
  const auto same = [](const auto& a, const auto& b) {
    return a.first == b.first && a.second.version == b.second.version;
  };
  const bool changed =
      !std::equal(partitions.begin(), partitions.end(), partitions_.begin(),
                  partitions_.end(), same);
  partitions_ = partitions;
  view_current_ = true;
  ReconcileOwned(now);
  StartReleases();
  UpdateVacancies(now);
  busy_interval_ =
      changed ? timing_.busy_read_interval
              : std::min(busy_interval_ * 2, timing_.max_busy_read_interval);
  const auto idle = std::chrono::duration_cast<duration>(
      timing_.idle_read_interval * (0.75 + timing_.jitter / 2));
  next_read_at_ = now + (IsBalanced() ? idle : busy_interval_);
}

// The store is authoritative. If it shows a partition as owned by this process
// that is not known to be claimed, the response to the claim was lost. If it no
// longer shows an owned partition as such, another entry took it over because
// this instance was missing from the platform's list. To keep using that
// partition would let two owners use the same slots; `lost` makes such cases
// visible.
void partition_manager_state::ReconcileOwned(time_point now) {
  lost_ += std::erase_if(owned_, [&](const auto& item) {
    const auto partition = partitions_.find(item.first);
    return (partition == partitions_.end() ||
            !IsOwned(partition->second.record)) &&
           !item.second.releasing;
  });
  std::erase_if(owned_, [&](const auto& item) {
    const auto partition = partitions_.find(item.first);
    return partition == partitions_.end() || !IsOwned(partition->second.record);
  });
  for (const auto& [number, partition] : partitions_) {
    if (!IsOwned(partition.record))
      continue;
    if (const auto known = owned_.find(number); known != owned_.end())
      known->second.version = partition.version;
    else
      RecordOwned(number, partition, now);
  }
}

// The takeover delay is measured by this instance's clock, from a time at which
// the claim is known to be written. The former owner was dead by then, so all
// its loans and work end within the delay. No clock of another instance is
// involved.
void partition_manager_state::RecordOwned(std::uint32_t number,
                                          const partition_view& partition,
                                          time_point now) {
  owned_[number] = {
      partition.version,
      partition.record.needs_takeover_delay ? now + takeover_delay_ : now,
      leaving_ || number >= partition_count_, now};
}

// Starts to release the partitions that this entry must not keep: all of them
// when it is leaving, those that the configuration no longer has, and one at a
// time to even out the shares. The slots of such a partition are used by no
// entry until the release is written, so at most one is released for balance at
// a time.
void partition_manager_state::StartReleases() {
  for (auto& [number, partition] : owned_)
    partition.releasing =
        partition.releasing || leaving_ || number >= partition_count_;
  if (!AnyReleasing() && !owned_.empty() && Shares().ShouldRelease(self_))
    owned_.rbegin()->second.releasing = true;
}

void partition_manager_state::UpdateVacancies(time_point now) {
  std::map<std::uint32_t, time_point> vacant;
  for (std::uint32_t number = 0; number < partition_count_; ++number) {
    if (!IsVacant(PartitionAt(number).record))
      continue;
    const auto known = vacant_since_.find(number);
    vacant[number] = known == vacant_since_.end() ? now : known->second;
  }
  vacant_since_ = std::move(vacant);
}

void partition_manager_state::OnInstances(
    const std::vector<instance_info>& instances,
    time_point now) {
  owner_absences_.OnInstances(instances, UnreachableOwners(), now);
  listed_.clear();
  for (const auto& instance : instances) {
    if (instance.role == "entry" && instance.region == region_ &&
        instance.state == instance_state::kLive)
      listed_.insert(instance.name);
  }
  UpdateVacancies(now);
  // An owner that is listed but unreachable may stay so for long, so the list
  // is read less often while there are only such owners.
  const auto unreachable = UnreachableOwners();
  const bool all_listed = std::all_of(
      unreachable.begin(), unreachable.end(),
      [&](const auto& name) { return owner_absences_.IsListed(name); });
  const duration check_interval = timing_.gone_after / kListReadsUntilGone;
  next_list_check_at_ =
      now + (all_listed && !unreachable.empty() ? timing_.gone_after * 3
                                                : check_interval);
}

void partition_manager_state::OnWritten(const write_partition& write,
                                        std::uint64_t version,
                                        time_point now) {
  const partition_view partition{version, write.record};
  partitions_[write.number] = partition;
  if (IsOwned(write.record))
    RecordOwned(write.number, partition, now);
  else
    owned_.erase(write.number);
  vacant_since_.erase(write.number);
  ScheduleEarlyRead(now);
}

// Whether the write was refused or took effect is found out by reading the
// partitions. Until then, no further write is based on a view that is known to
// be outdated.
void partition_manager_state::OnNotWritten(time_point now) {
  view_current_ = false;
  next_read_at_ = now;
}

// During an outage of the store every owner keeps its partitions. Ownership has
// no time-out, so no other entry can have claimed them.
void partition_manager_state::OnStoreError(time_point now) {
  view_current_ = false;
  busy_interval_ = std::min(busy_interval_ * 2, timing_.max_busy_read_interval);
  next_read_at_ = now + busy_interval_;
  next_list_check_at_ = std::max(next_list_check_at_, next_read_at_);
}

partition_action partition_manager_state::Next(
    time_point now,
    const std::function<bool(std::uint32_t)>& is_idle) const {
  if (partition_count_ == 0)
    return idle_until{now + timing_.idle_read_interval};
  if (now >= next_read_at_)
    return list_partitions{};
  if (!view_current_)
    return idle_until{next_read_at_};
  if (const auto release = Release(now, is_idle))
    return *release;
  if (const auto claim = Claim(now))
    return *claim;
  if (now >= next_list_check_at_ && NeedsInstanceList())
    return list_instances{};
  return idle_until{NextWakeup(now)};
}

std::vector<std::uint32_t> partition_manager_state::Usable(
    time_point now) const {
  std::vector<std::uint32_t> numbers;
  for (const auto& [number, partition] : owned_) {
    if (!partition.releasing && number < partition_count_ &&
        partition.usable_at <= now)
      numbers.push_back(number);
  }
  return numbers;
}

std::vector<partition_takeover> partition_manager_state::InTakeover(
    time_point now) const {
  std::vector<partition_takeover> in_takeover;
  for (const auto& [number, partition] : owned_) {
    if (!partition.releasing && number < partition_count_ &&
        partition.usable_at > now)
      in_takeover.push_back({number, partition.claimed_at});
  }
  return in_takeover;
}

std::optional<time_point> partition_manager_state::NextUsableAt(
    time_point now) const {
  std::optional<time_point> next;
  for (const auto& [number, partition] : owned_) {
    if (partition.usable_at > now && (!next || partition.usable_at < *next))
      next = partition.usable_at;
  }
  return next;
}

std::vector<std::uint32_t> partition_manager_state::Stranded() const {
  std::vector<std::uint32_t> numbers;
  for (const auto& [number, partition] : partitions_) {
    if (number < partition_count_ && IsOwnerUnreachable(partition.record) &&
        owner_absences_.IsListed(partition.record.owner))
      numbers.push_back(number);
  }
  return numbers;
}

}  // namespace samphire
