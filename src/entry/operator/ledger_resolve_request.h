#ifndef ENTRY_OPERATOR_LEDGER_RESOLVE_REQUEST_H_
#define ENTRY_OPERATOR_LEDGER_RESOLVE_REQUEST_H_

#include <string>

#include "entry/operator/ledger_query.h"
#include "entry/operator/ledger_resolution.h"

namespace samphire {

// The request of an operator to resolve a reservation whose outcome is unknown.
// The name and the reason are stored with the record.
struct ledger_resolve_request {
  ledger_query which;
  ledger_resolution as = ledger_resolution::kDone;
  std::string operator_name;
  std::string reason;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_LEDGER_RESOLVE_REQUEST_H_
