#ifndef TRAFFIC_FOLLOWING_POSITION_RECORD_H_
#define TRAFFIC_FOLLOWING_POSITION_RECORD_H_

#include <cstdint>
#include <mutex>
#include <optional>

#include "base/clock_source.h"
#include "store/store_cursor.h"

namespace samphire {

// What is known of the position that one kind of object has at this entry.
struct position_status {
  // None before the first listing.
  store_cursor position;
  // Time since a source with a fresh copy last confirmed it; nothing if none
  // has.
  std::optional<milliseconds> age;
};

// The position of the objects of one kind that are in force, and when it was
// last confirmed. Thread-safe; receives the time from its caller.
class position_record {
 public:
  // Notes that the objects at `position` are in force. An earlier position than
  // the current one changes nothing.
  void Advance(store_cursor position);
  // The same, and that a source with a fresh copy has just confirmed it.
  void Confirm(store_cursor position, time_point now);

  position_status StatusAt(time_point now) const;

 private:
  mutable std::mutex lock_;
  store_cursor position_;
  std::optional<time_point> confirmed_at_;
};

// Whether an entry may go on to serve callers by objects of this status.
// `is_alone` if it knows other entries of its region and reaches none.
bool MayServeBy(const position_status& status, bool is_alone);
// Returns the age in milliseconds for a log line; -1 if it was never confirmed.
std::int64_t AgeForLog(const position_status& status);

}  // namespace samphire

#endif  // TRAFFIC_FOLLOWING_POSITION_RECORD_H_
