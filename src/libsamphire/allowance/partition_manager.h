#ifndef ALLOWANCE_PARTITION_MANAGER_H_
#define ALLOWANCE_PARTITION_MANAGER_H_

#include <mutex>
#include <string>
#include <vector>

#include "allowance/partition_manager_state.h"
#include "allowance/partition_user.h"
#include "base/stoppable_thread.h"
#include "metrics/metrics.h"
#include "store/object_store.h"

namespace samphire {

// Claims and releases one entry's slot partitions of its region: performs the
// actions that partition_manager_state decides on, against the object store, in
// a thread of its own. Other than Start, Stop and Step, all public functions
// may be called from any thread. Store errors are counted in a metric and
// retried.
class partition_manager {
 public:
  // `store`, `clock`, `metrics` and `user` must outlive the manager.
  partition_manager(object_store& store,
                    const clock_source& clock,
                    metrics& metrics,
                    std::string region,
                    partition_manager_state state,
                    partition_user& user);
  // Stops the thread.
  ~partition_manager();

  void Start();
  // Returns when the current step has ended. Owned partitions stay owned.
  void Stop();

  // Sets the number of partitions of the region and the takeover delay; see
  // partition_manager_state.
  void SetPartitions(std::uint32_t count, duration takeover_delay);
  // Sets the region's live members. Cheap when nothing changed, so it may be
  // called at every gossip round.
  void SetMembers(const std::vector<std::string>& members);
  // Releases every partition as it becomes idle and claims no more. Done when
  // owned_count() is 0.
  void Leave();

  std::size_t owned_count() const;
  // Numbers of the owned partitions whose slots may be used.
  std::vector<std::uint32_t> Usable() const;
  // Numbers of the partitions whose owner is listed but unreachable.
  std::vector<std::uint32_t> Stranded() const;

  // Performs one step of the thread and returns how long to wait before the
  // next. Public for tests that step in simulated time instead of starting the
  // thread.
  duration Step();

 private:
  struct action_runner;

  void ListPartitions();
  void ListInstances();
  void WritePartition(const write_partition& write);
  // Notifies the user if its partitions have changed.
  void NotifyUser(const partition_manager_state& state);
  void CountError(const error& why);
  // Calls `use` with the state, under the lock.
  template <typename F>
  auto WithState(F&& use);
  partition_manager_state Snapshot() const;

  object_store& store_;
  const clock_source& clock_;
  metrics& metrics_;
  const std::string region_;
  partition_user& user_;
  mutable std::mutex lock_;
  partition_manager_state state_;
  // Used by the thread alone, without the lock: what was last reported.
  std::vector<std::uint32_t> reported_usable_;
  std::vector<partition_takeover> reported_takeovers_;
  std::uint64_t reported_lost_ = 0;
  stoppable_thread thread_;
};

}  // namespace samphire

#endif  // ALLOWANCE_PARTITION_MANAGER_H_
