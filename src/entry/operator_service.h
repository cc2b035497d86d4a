#ifndef ENTRY_OPERATOR_SERVICE_H_
#define ENTRY_OPERATOR_SERVICE_H_

#include <optional>
#include <string>
#include <vector>

#include "distribution/config_publisher.h"
#include "entry/operator/operator_api.h"
#include "gateway/entry_node.h"

namespace samphire {

// Implements the operator operations of one entry: changes are written to the
// platform, and everything else but the history and the ledger is this entry's
// own view. Thread-safe; `node` must outlive it.
class operator_service final : public operator_api {
 public:
  explicit operator_service(entry_node& node);

  result<void> Check(const std::string& text) override;
  result<apply_response> Apply(
      const declaration_apply_request& request) override;
  result<config_response> Config() override;
  result<std::vector<history_entry>> History() override;
  result<apply_response> Witness(const witness_request& request) override;
  result<status_response> Status() override;

  result<std::vector<drain>> Drains() override;
  result<apply_response> AddDrain(const drain_add_request& request) override;
  result<apply_response> RemoveDrain(
      const drain_remove_request& request) override;

  result<std::vector<reservation_status>> Unresolved() override;
  result<reservation_status> ShowLedger(const ledger_query& query) override;
  result<reservation_status> ResolveLedger(
      const ledger_resolve_request& request) override;

 private:
  // Parses and validates the JSON of a declaration.
  result<declaration> Read(const std::string& text);
  // Converts the outcome of a change to a response; logs it if the change was
  // accepted or refused. kWitnessNeeded becomes a response with the proposal
  // id; any other error is returned as it is.
  result<apply_response> FinishChange(const result<apply_receipt>& receipt,
                                      const std::string& apply_id,
                                      const std::string& operator_name);

  entry_node& node_;
  config_publisher publisher_;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_SERVICE_H_
