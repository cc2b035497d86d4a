#ifndef SEATS_PARTITION_SIMULATION_H_
#define SEATS_PARTITION_SIMULATION_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "allowance/partition_manager_state.h"

namespace samphire {

// Simulates the partition managers of several entries that share one store and
// one instance list, in simulated time, with every fault that the platform and
// the instances are known to have.
class partition_simulation {
 public:
  static constexpr std::uint32_t kPartitions = 6;
  static constexpr milliseconds kTakeoverDelay{20'000};

  static constexpr milliseconds kStep{100};

  // `list_lag` bounds how far reads of the instance list lag. With
  // `unreachable_peers`, entries may miss peers that are alive.
  partition_simulation(std::uint32_t seed,
                       milliseconds list_lag,
                       bool unreachable_peers)
      : random_(seed),
        list_lag_(list_lag),
        unreachable_peers_(unreachable_peers) {}

  void StartInstance(const std::string& name);
  // The process dies and is restarted. With `replace`, its instance is gone
  // too, and a new instance starts instead.
  void Kill(std::size_t index, bool replace);
  // Advances the simulation by `by`, or until the first violation.
  void Run(milliseconds by, bool faults);

  // Description of the first violated invariant; empty if there is none.
  std::string violation;
  // Store calls made.
  std::size_t calls = 0;

  struct entry {
    std::string name;
    partition_manager_state state;
    // An action that was decided but not yet performed, and the result of an
    // action that was performed but not yet delivered.
    std::optional<partition_action> pending_action;
    std::function<void(time_point)> pending_result;
    time_point paused_until{};
    milliseconds lag{};
    std::string unreachable_peer;
    time_point unreachable_until{};
    // Partitions on which nothing ran when their release was decided.
    std::set<std::uint32_t> idle;
  };
  std::vector<std::unique_ptr<entry>> entries;
  partition_views partitions;

  time_point now() const { return now_; }
  std::vector<std::string> Names() const;
  // Whether every partition is usable by an entry.
  bool AllUsable() const;

 private:
  struct delayed_write {
    time_point applies_at;
    write_partition write;
  };

  // True with a probability of `percent`.
  bool Chance(int percent) { return random_() % 100 < unsigned(percent); }
  void Advance(entry& one, bool faults);
  void Perform(entry& one, const partition_action& action, bool faults);
  void PerformWrite(entry& one, const write_partition& write, bool faults);
  // Returns the new version; none if the version check failed.
  std::optional<std::uint64_t> ApplyWrite(const write_partition& write);
  std::vector<instance_info> ListedAt(time_point at) const;
  void CheckInvariants();

  std::vector<std::string> ReachablePeers(entry& one, bool faults);

  std::mt19937 random_;
  const milliseconds list_lag_;
  const bool unreachable_peers_;
  time_point now_ = time_point(std::chrono::hours(100));
  std::uint64_t revision_ = 0;
  std::uint64_t next_incarnation_ = 1;
  int next_name_ = 0;
  std::vector<delayed_write> delayed_writes_;
  // States of the platform's instance list over time.
  std::deque<std::pair<time_point, std::vector<std::string>>> lists_;
  std::vector<std::string> listed_;
  // When the last process died that may have left work on a partition.
  std::map<std::uint32_t, time_point> work_left_since_;
};

}  // namespace samphire

#endif  // SEATS_PARTITION_SIMULATION_H_
