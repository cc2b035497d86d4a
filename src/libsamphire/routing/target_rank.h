#ifndef ROUTING_TARGET_RANK_H_
#define ROUTING_TARGET_RANK_H_

#include <cstdint>
#include <string_view>

namespace samphire {

// Returns the hash of an affinity key or, for requests without one, of any
// value that distinguishes the request from others.
std::uint64_t KeyHash(std::string_view key);
// Returns the hash of a key that belongs to one route's requests.
std::uint64_t KeyHash(std::string_view route, std::string_view key);

// Returns the rank of a target for a key by weighted rendezvous hashing; the
// highest rank is the best. Entries that know the same targets rank them alike,
// a target that joins or leaves moves only its own keys, and each target gets
// keys in proportion to `weight`. Safe to call from any thread.
double TargetRank(std::uint64_t key_hash,
                  std::string_view target_id,
                  double weight);

}  // namespace samphire

#endif  // ROUTING_TARGET_RANK_H_
