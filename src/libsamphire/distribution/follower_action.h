#ifndef DISTRIBUTION_FOLLOWER_ACTION_H_
#define DISTRIBUTION_FOLLOWER_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>

#include "base/clock_source.h"

namespace samphire {

// Read the root at the platform, and load its image if it is newer.
struct read_root {};
// Load the version that `peer` has in force.
struct pull_from_peer {
  std::string peer;
  std::uint64_t version = 0;
};
// Query the peers for their versions and load the highest of them.
struct query_peers {};
// Do nothing until `at`.
struct wait_until {
  time_point at;
};

using follower_action =
    std::variant<read_root, pull_from_peer, query_peers, wait_until>;

}  // namespace samphire

#endif  // DISTRIBUTION_FOLLOWER_ACTION_H_
