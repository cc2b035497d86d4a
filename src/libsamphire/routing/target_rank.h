#ifndef ROUTING_TARGET_RANK_H_
#define ROUTING_TARGET_RANK_H_

#include <cstdint>
#include <string_view>

namespace samphire {

// The hash of an affinity key or, without one, of whatever tells a request
// from others.
std::uint64_t KeyHash(std::string_view key);
// The same for a key of one route's requests.
std::uint64_t KeyHash(std::string_view route, std::string_view key);

// How high a target ranks for a key, by weighted rendezvous hashing: every
// entry that knows the same targets ranks them alike, a target that comes or
// goes moves only its own keys, and each gets keys in proportion to `weight`.
double TargetRank(std::uint64_t key_hash,
                  std::string_view target_id,
                  double weight);

}  // namespace samphire

#endif  // ROUTING_TARGET_RANK_H_
