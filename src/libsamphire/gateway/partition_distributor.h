#ifndef GATEWAY_PARTITION_DISTRIBUTOR_H_
#define GATEWAY_PARTITION_DISTRIBUTOR_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "allowance/partition_user.h"
#include "gateway/deployment.h"
#include "gateway/gate_set.h"
#include "metrics/metrics.h"

namespace samphire {

// Converts the slot partitions that this entry may use into owned slots at its
// gates and a share of the shift caps. Thread-safe; the overridden functions
// are called by the thread of partition_manager.
class partition_distributor final : public partition_user {
 public:
  partition_distributor(std::string region,
                        gate_set& gates,
                        const clock_source& clock,
                        metrics& counters);

  // Applies a new configuration, which may change slots, targets, shift caps
  // and the number of partitions.
  void Follow(const deployment_ptr& present);

  void OnUsablePartitions(const std::vector<std::uint32_t>& usable) override;
  void OnPartitionTakeovers(
      const std::vector<partition_takeover>& takeovers) override;
  bool IsIdle(std::uint32_t partition) override;
  // Adds the slots of those services whose own takeover delay for a partition
  // has passed; called periodically.
  void Tick();

  // Returns the numbers of the usable partitions, without those in takeover.
  std::vector<std::uint32_t> partitions() const;

 private:
  // Sets the owned slots and shift caps anew; called under the lock.
  void UpdateGates();
  // Returns the partitions whose slots of this service may be used now.
  std::vector<std::uint32_t> PartitionsFor(const service& whole) const;

  const std::string region_;
  gate_set& gates_;
  const clock_source& clock_;
  metrics& metrics_;
  mutable std::mutex lock_;
  deployment_ptr present_;
  std::vector<std::uint32_t> partitions_;
  // Partitions whose takeover delay for all services hasn't passed.
  std::vector<partition_takeover> takeovers_;
};

}  // namespace samphire

#endif  // GATEWAY_PARTITION_DISTRIBUTOR_H_
