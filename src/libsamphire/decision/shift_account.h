#ifndef DECISION_SHIFT_ACCOUNT_H_
#define DECISION_SHIFT_ACCOUNT_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock_source.h"
#include "decision/shift_budget.h"

namespace samphire {

// The shift budget of one entry, shared by the dispatchers of its services: a
// cap applies to all services together. Thread-safe.
class shift_account
    : public boost::intrusive_ref_counter<shift_account,
                                          boost::thread_safe_counter> {
 public:
  explicit shift_account(std::string own_region)
      : budget_(std::move(own_region)) {}

  void SetCaps(const std::vector<shift_cap>& caps, const shift_share& share);
  void OnArrival(const std::string& home_region, time_point now);
  // Takes one unit if there is free capacity, and returns whether it did.
  bool TryStart(const std::string& home_region, time_point now);
  // Returns a unit that TryStart has taken.
  void Release(const std::string& home_region, time_point now);

  // See shift_budget. The returned values may be outdated as soon as the call
  // returns.
  std::uint32_t free_capacity(const std::string& home_region,
                              time_point now) const;
  std::uint32_t limit(const std::string& home_region, time_point now) const;
  std::optional<duration> TimeUntilFreeCapacity(const std::string& home_region,
                                                time_point now) const;
  // Returns whether more is in flight than the present share allows, because a
  // slot partition was released in the meantime.
  bool IsOverLimit(time_point now) const;
  std::vector<shift_status> status(time_point now) const;

 private:
  mutable std::mutex lock_;
  shift_budget budget_;
};

using shift_account_ptr = boost::intrusive_ptr<shift_account>;

}  // namespace samphire

#endif  // DECISION_SHIFT_ACCOUNT_H_
