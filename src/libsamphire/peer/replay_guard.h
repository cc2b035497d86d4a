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

// Tells signed messages that are new from those seen before. Not thread-safe.
class replay_guard {
 public:
  // Success, or kPeerReplayed with the rule that the message broke.
  result<void> Accept(const peer_envelope& envelope, wall_time now);

  std::size_t senders() const { return senders_.size(); }

 private:
  struct sender_state {
    std::uint64_t incarnation = 0;
    wall_time heard_at;
    replay_window window;
  };

  bool MakeRoom(wall_time now);

  std::map<std::string, sender_state, std::less<>> senders_;
};

}  // namespace samphire

#endif  // PEER_REPLAY_GUARD_H_
