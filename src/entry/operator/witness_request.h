#ifndef ENTRY_OPERATOR_WITNESS_REQUEST_H_
#define ENTRY_OPERATOR_WITNESS_REQUEST_H_

#include <string>

namespace samphire {

// A second operator's consent to a proposal.
struct witness_request {
  std::string proposal;
  std::string operator_name;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_WITNESS_REQUEST_H_
