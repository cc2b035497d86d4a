#include "traffic/following/position_record.h"

#include <algorithm>
#include <chrono>

namespace samphire {

namespace {

// Longer than restarts and usual outages of the store.
constexpr milliseconds kMaxUnconfirmedAge{10'000};

}  // namespace

void position_record::Advance(store_cursor position) {
  std::lock_guard guard(lock_);
  position_ = std::max(position_, position);
}

void position_record::Confirm(store_cursor position, time_point now) {
  std::lock_guard guard(lock_);
  position_ = std::max(position_, position);
  confirmed_at_ = now;
}

position_status position_record::StatusAt(time_point now) const {
  std::lock_guard guard(lock_);
  position_status status{.position = position_, .age = std::nullopt};
  if (confirmed_at_)
    status.age = std::chrono::duration_cast<milliseconds>(now - *confirmed_at_);
  return status;
}

// While an entry reaches others, none of them has a later position, or it would
// have got that: the store is away for all, and confirms no changes. Refusing
// would then cost callers everything and protect nobody. An entry that reaches
// neither the store nor any other can't tell, and others can serve its callers.
bool MayServeBy(const position_status& status, bool is_alone) {
  return !is_alone || (status.age && *status.age <= kMaxUnconfirmedAge);
}

std::int64_t AgeForLog(const position_status& status) {
  constexpr milliseconds kNever{-1};
  return status.age.value_or(kNever).count();
}

}  // namespace samphire
