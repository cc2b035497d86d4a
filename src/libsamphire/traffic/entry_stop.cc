#include "traffic/entry_stop.h"

namespace samphire {

void entry_stop::Plan(const stop_schedule& schedule) {
  std::lock_guard guard(lock_);
  schedule_ = schedule;
  keep_until_ = schedule.keep_until;
  begun_ = true;
}

std::optional<stop_schedule> entry_stop::schedule() const {
  std::lock_guard guard(lock_);
  return schedule_;
}

}  // namespace samphire
