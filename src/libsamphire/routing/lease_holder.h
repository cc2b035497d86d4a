#ifndef ROUTING_LEASE_HOLDER_H_
#define ROUTING_LEASE_HOLDER_H_

#include <compare>
#include <cstdint>
#include <string>

namespace samphire {

// Whose lease: an entry's process, and its number for the attempt.
struct lease_holder {
  std::string entry;
  std::uint64_t incarnation = 0;
  std::uint64_t id = 0;

  auto operator<=>(const lease_holder&) const = default;
};

}  // namespace samphire

#endif  // ROUTING_LEASE_HOLDER_H_
