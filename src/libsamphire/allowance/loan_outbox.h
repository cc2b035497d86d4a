#ifndef ALLOWANCE_LOAN_OUTBOX_H_
#define ALLOWANCE_LOAN_OUTBOX_H_

#include <string>
#include <vector>

#include "allowance/loan_messages.h"

namespace samphire {

// A loan message to be sent to the peer `to` (an instance name).
struct outgoing_loan_message {
  std::string to;
  loan_message message;
};

// Messages in the order in which they are to be sent.
using loan_outbox = std::vector<outgoing_loan_message>;

}  // namespace samphire

#endif  // ALLOWANCE_LOAN_OUTBOX_H_
