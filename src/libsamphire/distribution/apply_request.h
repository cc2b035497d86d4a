#ifndef DISTRIBUTION_APPLY_REQUEST_H_
#define DISTRIBUTION_APPLY_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

namespace samphire {

// Identifies one requested configuration change: who requests it and on which
// version it may be applied.
struct apply_request {
  // Idempotency key chosen by the operator's tool; the same for every retry of
  // one change, so that a retry returns the receipt of the first attempt.
  std::string apply_id;
  // Name of the requesting operator, recorded in the history.
  std::string operator_name;
  // If set, the change is refused with kVersionConflict unless this is the
  // version in force; 0 expects that none is.
  std::optional<std::uint64_t> expect;
};

// Returned to the operator once a change is in force.
struct apply_receipt {
  // Version of the configuration that contains the change.
  std::uint64_t version = 0;
};

}  // namespace samphire

#endif  // DISTRIBUTION_APPLY_REQUEST_H_
