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

// How much work of other regions' callers this entry may hold at once: its
// share of each declared cap, ramped while the shift lasts. A pair of regions
// without a declared cap is not bounded here.
class shift_budget {
 public:
  explicit shift_budget(std::string own_region)
      : own_region_(std::move(own_region)) {}

  void SetCaps(const std::vector<shift_cap>& caps, const shift_share& share);

  // A request of this region has come, whatever becomes of it.
  void OnArrival(const std::string& home_region, time_point now);
  // How many more may start now; the largest number where no cap holds.
  std::uint32_t room(const std::string& home_region, time_point now) const;
  void Start(const std::string& home_region, time_point now);
  // Gives back the unit of a request that was started.
  void Release(const std::string& home_region, time_point now);

  // How long until the ramp lets one more in beyond what is in flight; none
  // where no cap holds or the ramp can give no more.
  std::optional<duration> UntilRamp(const std::string& home_region,
                                    time_point now) const;

  // Whether more is in flight under any cap than this entry's share of it.
  bool IsOverLimit(time_point now) const;

  std::uint32_t in_flight(const std::string& home_region) const;
  std::vector<shift_status> status(time_point now) const;
  // This entry's share now.
  std::uint32_t limit(const std::string& home_region, time_point now) const;

 private:
  struct shift {
    std::optional<shift_cap> cap;
    std::uint32_t in_flight = 0;
    time_point started;
    time_point last_seen;
  };

  std::uint32_t LimitOf(const shift& each, time_point now) const;
  std::uint32_t ShareOf(const shift_cap& cap, std::uint32_t total) const;

  std::string own_region_;
  shift_share share_;
  std::map<std::string, shift> shifts_;
};

}  // namespace samphire

#endif  // DECISION_SHIFT_BUDGET_H_
