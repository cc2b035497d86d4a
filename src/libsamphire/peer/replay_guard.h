#ifndef PEER_REPLAY_GUARD_H_
#define PEER_REPLAY_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/clock_source.h"
#include "base/result.h"
#include "peer/peer_envelope.h"
#include "peer/replay_window.h"

namespace samphire {

// Detects replays of verified messages by their time, incarnation and sequence
// number. Memory is bounded by a maximum number of senders. Not thread-safe.
class replay_guard {
 public:
  // Returns success for a new message and records it. Returns kPeerReplayed,
  // with the violated rule as the detail, for any other.
  result<void> Accept(const peer_envelope& envelope, wall_time now);

  // Number of senders for which state is kept.
  std::size_t senders() const { return senders_.size(); }

 private:
  struct sender_state {
    // The highest incarnation seen so far; messages of lower ones are refused.
    std::uint64_t incarnation = 0;
    wall_time last_accepted_at;
    // The sequence numbers received of this incarnation.
    replay_window window;
  };

  // Returns whether at least one sender was evicted.
  bool EvictStaleSenders(wall_time now);

  std::map<std::string, sender_state, std::less<>> senders_;
};

}  // namespace samphire

#endif  // PEER_REPLAY_GUARD_H_
