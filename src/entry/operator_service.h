#ifndef ENTRY_OPERATOR_SERVICE_H_
#define ENTRY_OPERATOR_SERVICE_H_

#include <optional>
#include <string>
#include <vector>

#include "distribution/config_publisher.h"
#include "entry/operator/operator_api.h"
#include "gateway/entry_node.h"

namespace samphire {

// What one entry does for operators: changes go to the platform, the rest is
// this entry's own view.
class operator_service final : public operator_api {
 public:
  explicit operator_service(entry_node& node);

  result<void> Check(const std::string& text) override;
  result<apply_answer> Apply(const apply_call& request) override;
  result<config_answer> Config() override;
  result<std::vector<history_entry>> History() override;
  result<apply_answer> Witness(const witness_request& request) override;
  result<status_answer> Status() override;

  result<std::vector<drain>> Drains() override;
  result<apply_answer> AddDrain(const drain_add_request& request) override;
  result<apply_answer> RemoveDrain(
      const drain_remove_request& request) override;

  result<std::vector<ledger_answer>> Unresolved() override;
  result<ledger_answer> ShowLedger(const ledger_query& query) override;
  result<ledger_answer> ResolveLedger(
      const ledger_resolve_request& request) override;

 private:
  result<declaration> Read(const std::string& text);
  // Takes a fresh change into force here without waiting for the watch.
  result<apply_answer> AnswerOf(const result<apply_receipt>& receipt,
                                const std::string& apply_id,
                                const std::string& operator_name);

  entry_node& node_;
  config_publisher publisher_;
};

}  // namespace samphire

#endif  // ENTRY_OPERATOR_SERVICE_H_
