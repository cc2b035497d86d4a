#ifndef ROUTING_KEY_OWNER_H_
#define ROUTING_KEY_OWNER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphire {

// Returns the index in `entries` of the entry that places all requests of a
// region for a key. Returns nothing for up to six entries, of which each places
// its own requests. Uses rendezvous hashing: callers with the same set of
// entries get the same owner, and an entry that joins or leaves moves only the
// keys that it owns. Safe to call from any thread.
std::optional<std::size_t> KeyOwner(std::uint64_t key_hash,
                                    const std::vector<std::string>& entries);

}  // namespace samphire

#endif  // ROUTING_KEY_OWNER_H_
