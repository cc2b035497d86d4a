#ifndef ENTRY_OPERATOR_OPERATOR_API_H_
#define ENTRY_OPERATOR_OPERATOR_API_H_

#include <string>
#include <vector>

#include "base/result.h"
#include "config/drain.h"
#include "entry/operator/apply_answer.h"
#include "entry/operator/apply_call.h"
#include "entry/operator/config_answer.h"
#include "entry/operator/drain_add_request.h"
#include "entry/operator/drain_remove_request.h"
#include "entry/operator/history_entry.h"
#include "entry/operator/ledger_answer.h"
#include "entry/operator/ledger_query.h"
#include "entry/operator/ledger_resolve_request.h"
#include "entry/operator/status_answer.h"
#include "entry/operator/witness_request.h"

namespace samphire {

// What an entry does for operators. Called by several threads at once.
class operator_api {
 public:
  virtual ~operator_api() = default;

  virtual result<void> Check(const std::string& text) = 0;
  virtual result<apply_answer> Apply(const apply_call& request) = 0;
  virtual result<config_answer> Config() = 0;
  // The newest first.
  virtual result<std::vector<history_entry>> History() = 0;
  virtual result<apply_answer> Witness(const witness_request& request) = 0;
  virtual result<status_answer> Status() = 0;

  virtual result<std::vector<drain>> Drains() = 0;
  virtual result<apply_answer> AddDrain(const drain_add_request& request) = 0;
  virtual result<apply_answer> RemoveDrain(
      const drain_remove_request& request) = 0;

  virtual result<std::vector<ledger_answer>> Unresolved() = 0;
  virtual result<ledger_answer> ShowLedger(const ledger_query& query) = 0;
  virtual result<ledger_answer> ResolveLedger(
      const ledger_resolve_request& request) = 0;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_OPERATOR_API_H_
