#ifndef ROUTING_TARGET_PAUSES_H_
#define ROUTING_TARGET_PAUSES_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/clock_source.h"
#include "routing/live_target.h"

namespace samphire {

// Targets to which this entry must not send requests for a while. Holds until
// its time has passed or the target's process is replaced, also while the
// target is missing from the list of targets. Not thread-safe.
class target_pauses {
 public:
  // Pauses the target until `until`, or longer if it is paused for longer.
  void Pause(const live_target& target, time_point until);
  // Returns the end of the target's pause; a time in the past if it has none.
  time_point PausedUntil(const live_target& target) const;
  // Returns whether any target is paused at `now`. Forgets pauses that have
  // ended.
  bool HasAny(time_point now);

 private:
  struct pause {
    time_point until;
    // Identifies the process that is paused, as in live_target.
    std::int64_t started_ms = 0;
  };
  // By target id.
  std::map<std::string, pause, std::less<>> pauses_;
};

}  // namespace samphire

#endif  // ROUTING_TARGET_PAUSES_H_
