#ifndef TRAFFIC_PLATFORM_TURN_H_
#define TRAFFIC_PLATFORM_TURN_H_

#include <cstddef>
#include <optional>

#include "base/clock_source.h"

namespace samphire {

// When an entry that follows others may turn to the platform itself, for one
// kind of object. Knows no threads and no clock.
class platform_turn {
 public:
  bool MayAsk(time_point now) const;

  // Peers answered that they have no fresh copy either.
  void OnPeersStale(time_point now);
  // None of them answered, so it is this entry that is cut off from them.
  void OnPeersSilent() { stale_since_.reset(); }
  // A peer or the platform told what changed.
  void OnNews();
  // Number of OnPeersStale() calls since the last OnNews().
  std::size_t stale_rounds() const { return stale_rounds_; }
  void OnPlatformFailed(time_point now, milliseconds pause);

 private:
  std::optional<time_point> stale_since_;
  std::size_t stale_rounds_ = 0;
  time_point not_before_;
};

}  // namespace samphire

#endif  // TRAFFIC_PLATFORM_TURN_H_
