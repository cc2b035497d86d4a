#ifndef ENTRY_OPERATOR_APPLY_RESPONSE_H_
#define ENTRY_OPERATOR_APPLY_RESPONSE_H_

#include <cstdint>
#include <string>

namespace samphire {

// The outcome of a configuration change that was not refused.
struct apply_response {
  // The configuration version that the change created; 0 while the change is
  // only proposed.
  std::uint64_t version = 0;
  // The id of the proposal if a second operator must approve the change,
  // otherwise empty.
  std::string proposal;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_APPLY_RESPONSE_H_
