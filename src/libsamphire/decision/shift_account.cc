#include "decision/shift_account.h"

namespace samphire {

void shift_account::SetCaps(const std::vector<shift_cap>& caps,
                            const shift_share& share) {
  std::lock_guard guard(lock_);
  budget_.SetCaps(caps, share);
}

void shift_account::OnArrival(const std::string& home_region, time_point now) {
  std::lock_guard guard(lock_);
  budget_.OnArrival(home_region, now);
}

// Checks and takes one unit under a single lock, for all services together.
// With a budget per service, a cap of 16 admitted 16 requests of every service
// when a region was lost and several services shifted at once; with check and
// take as separate steps, two services could both take the last unit. Either
// shows as more work from one region than the operators declared.
bool shift_account::TryStart(const std::string& home_region, time_point now) {
  std::lock_guard guard(lock_);
  if (budget_.free_capacity(home_region, now) == 0)
    return false;
  budget_.Start(home_region, now);
  return true;
}

void shift_account::Release(const std::string& home_region, time_point now) {
  std::lock_guard guard(lock_);
  budget_.Release(home_region, now);
}

std::uint32_t shift_account::free_capacity(const std::string& home_region,
                                           time_point now) const {
  std::lock_guard guard(lock_);
  return budget_.free_capacity(home_region, now);
}

std::uint32_t shift_account::limit(const std::string& home_region,
                                   time_point now) const {
  std::lock_guard guard(lock_);
  return budget_.limit(home_region, now);
}

std::optional<duration> shift_account::TimeUntilFreeCapacity(
    const std::string& home_region,
    time_point now) const {
  std::lock_guard guard(lock_);
  return budget_.TimeUntilFreeCapacity(home_region, now);
}

bool shift_account::IsOverLimit(time_point now) const {
  std::lock_guard guard(lock_);
  return budget_.IsOverLimit(now);
}

std::vector<shift_status> shift_account::status(time_point now) const {
  std::lock_guard guard(lock_);
  return budget_.status(now);
}

}  // namespace samphire
