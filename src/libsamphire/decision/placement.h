#ifndef DECISION_PLACEMENT_H_
#define DECISION_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>

namespace samphire {

// The target, and the slot of it, on which a request was placed.
struct placement {
  // Index into target_pool::all().
  std::size_t target_index = 0;
  // Whether the request probes an ejected target.
  bool probe = false;
  // The loan whose slot is used; none for an owned slot.
  std::optional<std::uint64_t> loan_id;
};

}  // namespace samphire

#endif  // DECISION_PLACEMENT_H_
