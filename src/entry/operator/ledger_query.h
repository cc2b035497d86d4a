#ifndef ENTRY_OPERATOR_LEDGER_QUERY_H_
#define ENTRY_OPERATOR_LEDGER_QUERY_H_

#include <string>

namespace samphire {

// Identifies one reservation: the service and the idempotency key within it.
struct ledger_query {
  std::string service;
  std::string key;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_LEDGER_QUERY_H_
