#ifndef DISTRIBUTION_FOLLOWER_ACTION_H_
#define DISTRIBUTION_FOLLOWER_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>

#include "base/clock_source.h"

namespace samphire {

// Read the root at the platform, and load its image if it is newer.
struct read_root {};
// Load what `peer` has.
struct pull_from_peer {
  std::string peer;
  std::uint64_t version = 0;
};
// Ask the peers what they have, and load the highest version among them.
struct ask_peers {};
struct wait_until {
  time_point at;
};

using follower_action =
    std::variant<read_root, pull_from_peer, ask_peers, wait_until>;

}  // namespace samphire

#endif  // DISTRIBUTION_FOLLOWER_ACTION_H_
