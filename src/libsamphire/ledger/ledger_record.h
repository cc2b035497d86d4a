#ifndef LEDGER_LEDGER_RECORD_H_
#define LEDGER_LEDGER_RECORD_H_

#include <cstdint>

#include "ledger/ledger_entry.h"

namespace samphire {

// One entry as an operator sees it.
struct ledger_record {
  ledger_entry entry;
  std::uint32_t shard = 0;
  bool in_doubt = false;
};

}  // namespace samphire

#endif  // LEDGER_LEDGER_RECORD_H_
