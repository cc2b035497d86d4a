#ifndef DISTRIBUTION_APPLY_REQUEST_H_
#define DISTRIBUTION_APPLY_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

namespace samphire {

// Who wants a change, and under what condition.
struct apply_request {
  // Chosen by the operator's tool, the same for each try of one change.
  std::string apply_id;
  std::string operator_name;
  // Refuses the change on any other version.
  std::optional<std::uint64_t> expect;
};

// What an operator gets for a change that is in force.
struct apply_receipt {
  std::uint64_t version = 0;
};

}  // namespace samphire

#endif  // DISTRIBUTION_APPLY_REQUEST_H_
