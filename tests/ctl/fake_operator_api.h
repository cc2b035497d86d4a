#ifndef CTL_FAKE_OPERATOR_API_H_
#define CTL_FAKE_OPERATOR_API_H_

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "entry/operator/operator_api.h"

namespace samphire {

// In-memory fake of the operator operations of an entry: keeps a history,
// drains and one reservation of unknown outcome, and records each call.
// Thread-safe. Its configuration version starts at 40.
class fake_operator_api final : public operator_api {
 public:
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

  // Refuses the next change with `reason`; it has no effect.
  void RefuseNext(error reason);
  // Executes the next change, but fails it with `reason` nevertheless.
  void FailNextAfterApply(error reason);
  // From now on, changes are only proposed until they are witnessed.
  void RequireWitness();
  // Reports the next change as successful without executing it.
  void DropNextChange();
  // Executes a change by another operator.
  void AcceptConcurrentChange();
  // Reports a member with an older version for the next `status_calls` status
  // calls.
  void DelayMembers(int status_calls);

  // The calls so far, each as its name and main arguments.
  std::vector<std::string> calls() const;
  std::uint64_t version() const;

 private:
  result<apply_response> Change(const std::string& id, const std::string& name);
  void RecordCall(const std::string& call);

  mutable std::mutex lock_;
  std::vector<std::string> calls_;
  std::vector<history_entry> history_;
  std::vector<drain> drains_;
  std::optional<error> refusal_;
  std::optional<error> failure_after_apply_;
  reservation_status record_{
      "claims-desk", "claim/1 7", "unknown", "entry-3", {}, "", ""};
  std::uint64_t version_ = 40;
  int delayed_status_calls_ = 0;
  bool require_witness_ = false;
  bool drop_next_change_ = false;
};

}  // namespace samphire

#endif  // CTL_FAKE_OPERATOR_API_H_
