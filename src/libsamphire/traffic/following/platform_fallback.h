#ifndef TRAFFIC_FOLLOWING_PLATFORM_FALLBACK_H_
#define TRAFFIC_FOLLOWING_PLATFORM_FALLBACK_H_

#include <cstddef>
#include <optional>

#include "base/clock_source.h"

namespace samphire {

// Decides when an entry that follows other entries may query the platform
// itself for one kind of object. Performs no I/O and takes the time as an
// argument. Not thread-safe.
class platform_fallback {
 public:
  // Returns false during the hold-off after peers turned out to be stale, and
  // during the back-off after a failed query of the platform.
  bool MayQuery(time_point now) const;

  // Called when peers responded that they have no fresh copy either.
  void OnPeersStale(time_point now);
  // Called when no peer responded. This entry is then partitioned from them and
  // need not wait for them to recover.
  void OnPeersUnreachable() { stale_since_.reset(); }
  // Called when a peer or the platform returned current changes. Ends hold-off
  // and back-off.
  void OnUpdate();
  // Number of OnPeersStale() calls since the last OnUpdate().
  std::size_t stale_rounds() const { return stale_rounds_; }
  // Called when a query of the platform failed. Backs off for `pause`.
  void OnPlatformFailed(time_point now, milliseconds pause);

 private:
  std::optional<time_point> stale_since_;
  std::size_t stale_rounds_ = 0;
  time_point not_before_;
};

}  // namespace samphire

#endif  // TRAFFIC_FOLLOWING_PLATFORM_FALLBACK_H_
