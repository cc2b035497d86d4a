#ifndef MEMBERSHIP_RENDEZVOUS_H_
#define MEMBERSHIP_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace samphire {

// Rendezvous hashing: every process that knows the same names picks the same
// ones for a role, and one that comes or goes moves few others.
std::uint64_t RendezvousWeight(std::string_view role, std::string_view name);
// The same for a role that is known by its hash.
std::uint64_t RendezvousWeight(std::uint64_t role_hash, std::string_view name);

// The `count` names of the highest weight for `role`, highest first.
std::vector<std::string> PickByRendezvous(std::string_view role,
                                          std::vector<std::string> names,
                                          std::size_t count);

}  // namespace samphire

#endif  // MEMBERSHIP_RENDEZVOUS_H_
