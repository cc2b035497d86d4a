#ifndef MEMBERSHIP_RENDEZVOUS_H_
#define MEMBERSHIP_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphire {

// Rendezvous hashing: every process that knows the same names picks the same
// ones for a role, and a name that is added or removed moves few other roles.
// Returns the weight of `name` for `role`. May be called by any thread.
std::uint64_t RendezvousWeight(std::string_view role, std::string_view name);
// The same for a role whose XXH3 hash is known.
std::uint64_t RendezvousWeight(std::uint64_t role_hash, std::string_view name);

// Returns the `count` names of the highest weight for `role`, highest first;
// all of them if there are fewer.
std::vector<std::string> PickByRendezvous(std::string_view role,
                                          std::vector<std::string> names,
                                          std::size_t count);

}  // namespace samphire

#endif  // MEMBERSHIP_RENDEZVOUS_H_
