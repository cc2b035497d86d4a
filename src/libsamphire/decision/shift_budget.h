#ifndef DECISION_SHIFT_BUDGET_H_
#define DECISION_SHIFT_BUDGET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock_source.h"
#include "config/shift_cap.h"
#include "decision/shift_share.h"
#include "decision/shift_status.h"

namespace samphire {

// Limits how much work of callers from other regions may be in flight at this
// entry: its share of each declared shift cap, increased along a ramp while the
// shift lasts. Callers from a region without a declared cap are not limited
// here. One unit is one running request. Not thread-safe, see shift_account.
class shift_budget {
 public:
  explicit shift_budget(std::string own_region)
      : own_region_(std::move(own_region)) {}

  // Replaces the caps and this entry's share. Caps for other destinations are
  // ignored; work in flight is still counted.
  void SetCaps(const std::vector<shift_cap>& caps, const shift_share& share);

  // Reports that a request of this region has arrived, whether or not it is
  // admitted.
  void OnArrival(const std::string& home_region, time_point now);
  // Returns how many more requests may start now; the largest number where no
  // cap applies.
  std::uint32_t free_capacity(const std::string& home_region,
                              time_point now) const;
  // Counts a request that starts now; doesn't check the cap.
  void Start(const std::string& home_region, time_point now);
  // Returns the unit of a request that was started.
  void Release(const std::string& home_region, time_point now);

  // Returns how long it takes until the ramp admits one more request beyond
  // those in flight; none where no cap applies or the ramp can admit no more.
  std::optional<duration> TimeUntilFreeCapacity(const std::string& home_region,
                                                time_point now) const;

  // Returns whether more is in flight under any cap than this entry's share of
  // it.
  bool IsOverLimit(time_point now) const;

  std::uint32_t in_flight(const std::string& home_region) const;
  std::vector<shift_status> status(time_point now) const;
  // Returns this entry's present share of the cap, 0 without one.
  std::uint32_t limit(const std::string& home_region, time_point now) const;

 private:
  struct shift {
    std::optional<shift_cap> cap;
    std::uint32_t in_flight = 0;
    // When the present shift began, and when one of its requests last arrived,
    // started or ended.
    time_point started;
    time_point last_seen;
  };

  // This entry's share of the ramped cap at `now`.
  std::uint32_t LimitOf(const shift& each, time_point now) const;
  // This entry's share of `total` units, by its slot partitions.
  std::uint32_t ShareOf(const shift_cap& cap, std::uint32_t total) const;

  std::string own_region_;
  shift_share share_;
  std::map<std::string, shift> shifts_;
};

}  // namespace samphire

#endif  // DECISION_SHIFT_BUDGET_H_
