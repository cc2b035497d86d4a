#ifndef DECISION_PLACEMENT_H_
#define DECISION_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>

namespace samphire {

// Where a request was placed.
struct placement {
  std::size_t target_index = 0;
  bool probe = false;
  std::optional<std::uint64_t> loan_id;
};

}  // namespace samphire

#endif  // DECISION_PLACEMENT_H_
