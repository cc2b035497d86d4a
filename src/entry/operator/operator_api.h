#ifndef ENTRY_OPERATOR_OPERATOR_API_H_
#define ENTRY_OPERATOR_OPERATOR_API_H_

#include <string>
#include <vector>

#include "base/result.h"
#include "config/drain.h"
#include "entry/operator/apply_response.h"
#include "entry/operator/config_response.h"
#include "entry/operator/declaration_apply_request.h"
#include "entry/operator/drain_add_request.h"
#include "entry/operator/drain_remove_request.h"
#include "entry/operator/history_entry.h"
#include "entry/operator/ledger_query.h"
#include "entry/operator/ledger_resolve_request.h"
#include "entry/operator/reservation_status.h"
#include "entry/operator/status_response.h"
#include "entry/operator/witness_request.h"

namespace samphire {

// The operations that an entry offers to operators. Called by several threads
// concurrently, so implementations must be thread-safe.
class operator_api {
 public:
  virtual ~operator_api() = default;

  // Validates the declaration `text` (JSON) without applying it.
  virtual result<void> Check(const std::string& text) = 0;
  // Puts a declaration into force atomically, or stores it as a proposal if a
  // second operator must approve it.
  virtual result<apply_response> Apply(
      const declaration_apply_request& request) = 0;
  // Returns the declaration in force; fails with kNoConfiguration if there is
  // none.
  virtual result<config_response> Config() = 0;
  // Returns the proposals that await approval, then the accepted changes of the
  // configuration, the newest first.
  virtual result<std::vector<history_entry>> History() = 0;
  // Approves another operator's proposal, which puts it into force.
  virtual result<apply_response> Witness(const witness_request& request) = 0;
  // Returns this entry's view of itself and of the fleet.
  virtual result<status_response> Status() = 0;

  // Drains are planned stops of a target, a failure domain or a region; each
  // change of them is a change of the declaration. Drains() fails with
  // kNoConfiguration if there is no declaration in force.
  virtual result<std::vector<drain>> Drains() = 0;
  virtual result<apply_response> AddDrain(const drain_add_request& request) = 0;
  virtual result<apply_response> RemoveDrain(
      const drain_remove_request& request) = 0;

  // Returns the reservations whose outcome is unknown.
  virtual result<std::vector<reservation_status>> Unresolved() = 0;
  // Returns one reservation.
  virtual result<reservation_status> ShowLedger(const ledger_query& query) = 0;
  // Resolves a reservation whose outcome is unknown and returns its new status.
  virtual result<reservation_status> ResolveLedger(
      const ledger_resolve_request& request) = 0;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_OPERATOR_API_H_
