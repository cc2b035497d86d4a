#ifndef ALLOWANCE_PARTITION_MANAGER_STATE_H_
#define ALLOWANCE_PARTITION_MANAGER_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "allowance/owner_absence_tracker.h"
#include "allowance/partition_action.h"
#include "allowance/partition_shares.h"
#include "allowance/partition_takeover.h"
#include "allowance/partition_timing.h"
#include "allowance/partition_view.h"

namespace samphire {

// Decides which slot partitions of its region one entry claims, uses and
// releases. Performs no I/O and reads no clock: it is given events and returns
// the next action. Not thread-safe; partition_manager guards it with a lock.
class partition_manager_state {
 public:
  // `self` is this entry's instance name. `incarnation` must differ from that
  // of every earlier process on this instance.
  partition_manager_state(std::string self,
                          std::string region,
                          std::uint64_t incarnation,
                          const partition_timing& timing,
                          time_point start);

  // Sets, from the configuration, the number of partitions of the region and
  // how long loans and requests of a former owner may continue (loan time to
  // live, clock drift and longest deadline together).
  void SetPartitions(std::uint32_t count, duration takeover_delay);
  // Sets the region's live entries according to the membership protocol.
  void SetMembers(const std::vector<std::string>& members, time_point now);
  // From now on, no partition is claimed and each owned one is released as soon
  // as it is idle.
  void SetLeaving(time_point now);

  // Results of the actions returned by Next. A read delivers the records of all
  // partitions, or the platform's instance list.
  void OnPartitions(const partition_views& partitions, time_point now);
  void OnInstances(const std::vector<instance_info>& instances, time_point now);
  // A write succeeded, and the stored object now has `version`.
  void OnWritten(const write_partition& write,
                 std::uint64_t version,
                 time_point now);
  // A write was refused by the version check, or its outcome is unknown.
  void OnNotWritten(time_point now);
  // A store call failed and certainly had no effect.
  void OnStoreError(time_point now);

  // Returns the next action. `is_idle` tells whether a partition that is being
  // released is no longer in use.
  partition_action Next(
      time_point now,
      const std::function<bool(std::uint32_t)>& is_idle) const;

  // Partitions whose slots may be used, in ascending order.
  std::vector<std::uint32_t> Usable(time_point now) const;
  // Owned partitions whose takeover delay has not passed.
  std::vector<partition_takeover> InTakeover(time_point now) const;
  // When the next takeover delay ends; none if no delay is running.
  std::optional<time_point> NextUsableAt(time_point now) const;
  // Whether an owned partition is being released and the release is not written
  // yet.
  bool IsReleasing(std::uint32_t partition) const {
    const auto found = owned_.find(partition);
    return found != owned_.end() && found->second.releasing;
  }
  // Number of owned partitions, usable or not.
  std::size_t owned_count() const { return owned_.size(); }
  // Partitions whose owner is on the platform's list but is not among the
  // members. Their slots stay unused until the owner restarts or is gone.
  std::vector<std::uint32_t> Stranded() const;
  // How many owned partitions turned out to belong to another owner.
  std::uint64_t lost() const { return lost_; }

 private:
  struct owned_partition {
    std::uint64_t version = 0;
    // End of the takeover delay.
    time_point usable_at;
    bool releasing = false;
    time_point claimed_at;
  };

  void RecordOwned(std::uint32_t number,
                   const partition_view& partition,
                   time_point now);
  void ReconcileOwned(time_point now);
  void StartReleases();
  void UpdateVacancies(time_point now);
  void ScheduleEarlyRead(time_point now);
  std::optional<write_partition> Release(
      time_point now,
      const std::function<bool(std::uint32_t)>& is_idle) const;
  std::optional<write_partition> Claim(time_point now) const;
  bool MayClaim(std::uint32_t number,
                const partition_shares& shares,
                time_point now) const;
  write_partition MakeClaim(std::uint32_t number,
                            const partition_view& partition) const;
  const partition_view& PartitionAt(std::uint32_t number) const;
  bool AnyReleasing() const;
  // Whether this process owns the partition.
  bool IsOwned(const partition_record& record) const;
  // Whether an earlier process on this instance owns the partition.
  bool IsOwnedByPredecessor(const partition_record& record) const;
  // Whether the partition has no owner, or its owner is gone.
  bool IsVacant(const partition_record& record) const;
  // Whether the owner is an entry that is not among the members.
  bool IsOwnerUnreachable(const partition_record& record) const;
  // Owners that are not members and that this entry looks up in the platform's
  // instance list.
  std::vector<std::string> UnreachableOwners() const;
  bool NeedsInstanceList() const;
  // Whether there is nothing to claim, release or look up for the time being.
  bool IsBalanced() const;
  time_point NextWakeup(time_point now) const;
  partition_shares Shares() const;

  const std::string self_;
  const std::string region_;
  const std::uint64_t incarnation_;
  const partition_timing timing_;
  std::uint32_t partition_count_ = 0;
  duration takeover_delay_{0};
  std::set<std::string> members_;
  // The region's live entries on the platform's list.
  std::set<std::string> listed_;
  bool leaving_ = false;
  std::map<std::uint32_t, owned_partition> owned_;
  partition_views partitions_;
  // Since when each vacant partition has been seen vacant without interruption.
  std::map<std::uint32_t, time_point> vacant_since_;
  owner_absence_tracker owner_absences_;
  // Whether partitions_ is as good as the last read: since then, no store call
  // has failed and the number of partitions has not changed.
  bool view_current_ = false;

  std::uint64_t lost_ = 0;
  time_point next_read_at_;
  time_point next_list_check_at_;
  milliseconds busy_interval_;
};

}  // namespace samphire

#endif  // ALLOWANCE_PARTITION_MANAGER_STATE_H_
