#ifndef GATEWAY_SEAT_SHARE_H_
#define GATEWAY_SEAT_SHARE_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "allowance/partition_user.h"
#include "gateway/deployment.h"
#include "gateway/gate_set.h"
#include "metrics/metrics.h"

namespace samphire {

// Turns the seats of this entry into slots and shares of the shift caps at its
// gates.
class seat_share final : public partition_user {
 public:
  seat_share(std::string region,
             gate_set& gates,
             const clock_source& clock,
             metrics& counters);

  // A configuration may change slots, targets, caps and the number of seats.
  void Follow(const deployment_ptr& present);

  void OnUsablePartitions(const std::vector<std::uint32_t>& usable) override;
  void OnPartitionTakeovers(
      const std::vector<partition_takeover>& waiting) override;
  bool IsIdle(std::uint32_t seat) override;
  // Looks whether a service's own wait for a seat has ended.
  void Tick();

  std::vector<std::uint32_t> seats() const;

 private:
  void Share();
  // The seats whose slots of this service may be used now.
  std::vector<std::uint32_t> SeatsFor(const service& whole) const;

  const std::string region_;
  gate_set& gates_;
  const clock_source& clock_;
  metrics& metrics_;
  mutable std::mutex lock_;
  deployment_ptr present_;
  std::vector<std::uint32_t> seats_;
  std::vector<partition_takeover> waiting_;
};

}  // namespace samphire

#endif  // GATEWAY_SEAT_SHARE_H_
