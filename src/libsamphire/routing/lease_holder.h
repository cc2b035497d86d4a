#ifndef ROUTING_LEASE_HOLDER_H_
#define ROUTING_LEASE_HOLDER_H_

#include <cstdint>
#include <string>
#include <tuple>

namespace samphire {

// Identifies a placement lease: the entry process that makes the attempt, by
// name and incarnation, and the id that it assigned to the attempt.
struct lease_holder {
  std::string entry;
  std::uint64_t incarnation = 0;
  std::uint64_t id = 0;

  friend bool operator<(const lease_holder& left, const lease_holder& right) {
    return std::tie(left.entry, left.incarnation, left.id) <
           std::tie(right.entry, right.incarnation, right.id);
  }
};

}  // namespace samphire

#endif  // ROUTING_LEASE_HOLDER_H_
