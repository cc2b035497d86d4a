#ifndef LEDGER_LEDGER_RECORD_H_
#define LEDGER_LEDGER_RECORD_H_

#include <cstdint>

#include "ledger/ledger_entry.h"

namespace samphire {

// One ledger entry as shown to an operator.
struct ledger_record {
  ledger_entry entry;
  // The number of the shard that holds the entry.
  std::uint32_t shard = 0;
  // Whether an operator has to settle the entry, as of the time of reading.
  bool in_doubt = false;
};

}  // namespace samphire

#endif  // LEDGER_LEDGER_RECORD_H_
