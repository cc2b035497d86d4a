#ifndef ENTRY_OPERATOR_WITNESS_REQUEST_H_
#define ENTRY_OPERATOR_WITNESS_REQUEST_H_

#include <string>

namespace samphire {

// A second operator's approval of a proposal.
struct witness_request {
  // The id of the proposal.
  std::string proposal;
  // The approving operator, who must not be the proposer.
  std::string operator_name;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_WITNESS_REQUEST_H_
