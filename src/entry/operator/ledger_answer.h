#ifndef ENTRY_OPERATOR_LEDGER_ANSWER_H_
#define ENTRY_OPERATOR_LEDGER_ANSWER_H_

#include <string>

#include "base/clock_source.h"

namespace samphire {

// One reservation as operators see it.
struct ledger_answer {
  std::string service;
  std::string key;
  // "reserved", "done", "released" or "unknown".
  std::string state;
  // The instance that reserved it.
  std::string holder;
  wall_time reserved_at;
  // Who settled it and why, if an operator did.
  std::string settled_by;
  std::string reason;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_LEDGER_ANSWER_H_
