#ifndef CTL_FAKE_OPERATOR_API_H_
#define CTL_FAKE_OPERATOR_API_H_

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "entry/operator/operator_api.h"

namespace samphire {

// The operator's side of an entry in memory: keeps a history, drains and one
// reservation in doubt, and writes down each call.
class fake_operator_api final : public operator_api {
 public:
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

  // The next change is refused so and has no effect.
  void RefuseNext(error reason);
  // The next change takes effect and answers this nevertheless.
  void FailNextAfterEffect(error reason);
  // Changes are proposed only until witnessed.
  void NeedWitness();
  // The next change has no effect and no refusal either.
  void LoseNext();
  // A change by somebody else.
  void AcceptOther();
  // Members get a version only after so many more status calls.
  void LagMembers(int status_calls);

  std::vector<std::string> calls() const;
  std::uint64_t version() const;

 private:
  result<apply_answer> Change(const std::string& id, const std::string& name);
  void Note(const std::string& call);

  mutable std::mutex lock_;
  std::vector<std::string> calls_;
  std::vector<history_entry> history_;
  std::vector<drain> drains_;
  std::optional<error> refusal_;
  std::optional<error> late_failure_;
  ledger_answer record_{
      "claims-desk", "claim/1 7", "unknown", "entry-3", {}, "", ""};
  std::uint64_t version_ = 40;
  int lag_ = 0;
  bool need_witness_ = false;
  bool lose_next_ = false;
};

}  // namespace samphire

#endif  // CTL_FAKE_OPERATOR_API_H_
