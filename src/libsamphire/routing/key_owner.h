#ifndef ROUTING_KEY_OWNER_H_
#define ROUTING_KEY_OWNER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphire {

// Index of the entry that places a region's requests for a key; nothing where
// entries are so few that each places its own. Entries that know the same
// others choose alike, and one that comes or goes moves only its own keys.
std::optional<std::size_t> KeyOwner(std::uint64_t key_hash,
                                    const std::vector<std::string>& entries);

}  // namespace samphire

#endif  // ROUTING_KEY_OWNER_H_
