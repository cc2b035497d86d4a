#ifndef LEDGER_UNRESOLVED_REPORT_H_
#define LEDGER_UNRESOLVED_REPORT_H_

#include <string>
#include <vector>

#include "ledger/ledger_entry.h"

namespace samphire {

// What operators have to attend to: reservations in doubt, and the object keys
// of shards that can't be decoded.
struct unresolved_report {
  std::vector<ledger_entry> entries;
  std::vector<std::string> corrupt_shards;
};

}  // namespace samphire

#endif  // LEDGER_UNRESOLVED_REPORT_H_
