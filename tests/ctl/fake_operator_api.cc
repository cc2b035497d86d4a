#include "ctl/fake_operator_api.h"

#include <algorithm>
#include <utility>

#include "config/declaration_reader.h"

namespace samphire {

result<void> fake_operator_api::Check(const std::string& text) {
  Note("check " + text);
  if (const auto read = ReadAcceptedDeclaration(text); !read)
    return read.error();
  return Success();
}

result<apply_answer> fake_operator_api::Apply(const apply_call& request) {
  Note("apply " + request.operator_name + " " +
       (request.expect ? std::to_string(*request.expect) : "any") + " " +
       request.text);
  if (request.expect && *request.expect != version())
    return MakeError(result_code::kVersionConflict, "another version");
  return Change(request.apply_id, request.operator_name);
}

result<config_answer> fake_operator_api::Config() {
  Note("config");
  return config_answer{version(), "id-40", "rui", "{\"name\":\"in-force\"}"};
}

result<std::vector<history_entry>> fake_operator_api::History() {
  Note("history");
  std::lock_guard guard(lock_);
  return std::vector<history_entry>(history_.rbegin(), history_.rend());
}

result<apply_answer> fake_operator_api::Witness(
    const witness_request& request) {
  Note("witness " + request.proposal + " " + request.operator_name);
  std::lock_guard guard(lock_);
  const auto found = std::find_if(
      history_.begin(), history_.end(),
      [&](const auto& entry) { return entry.proposal == request.proposal; });
  if (found == history_.end())
    return MakeError(result_code::kUnknownProposal, request.proposal);
  if (found->operator_name == request.operator_name)
    return MakeError(result_code::kWitnessIsProposer);
  if (std::exchange(lose_next_, false))
    return apply_answer{version_ + 1, ""};
  found->witness = request.operator_name;
  found->state = history_state::kAccepted;
  found->version = ++version_;
  return apply_answer{version_, ""};
}

result<status_answer> fake_operator_api::Status() {
  Note("status");
  std::lock_guard guard(lock_);
  const auto seen = lag_ > 0 ? version_ - 1 : version_;
  lag_ = std::max(0, lag_ - 1);
  status_answer status;
  status.instance = "entry-1";
  status.region = "colombo";
  status.config_version = version_;
  status.config_age = milliseconds(12);
  status.members = {{"entry-1", "colombo", "live", version_},
                    {"entry-2", "kandy", "live", seen}};
  status.details = "{\"allowances\":{\"colombo\":12}}";
  return status;
}

result<std::vector<drain>> fake_operator_api::Drains() {
  Note("drains");
  std::lock_guard guard(lock_);
  return drains_;
}

result<apply_answer> fake_operator_api::AddDrain(
    const drain_add_request& request) {
  Note("drain add " + request.drain.name);
  {
    std::lock_guard guard(lock_);
    drains_.push_back(request.drain);
  }
  return Change(request.apply_id, request.operator_name);
}

result<apply_answer> fake_operator_api::RemoveDrain(
    const drain_remove_request& request) {
  Note("drain remove " + request.drain_name);
  {
    std::lock_guard guard(lock_);
    if (std::erase_if(drains_, [&](const auto& one) {
          return one.name == request.drain_name;
        }) == 0)
      return MakeError(result_code::kUnknownDrain, request.drain_name);
  }
  return Change(request.apply_id, request.operator_name);
}

result<std::vector<ledger_answer>> fake_operator_api::Unresolved() {
  Note("unresolved");
  std::lock_guard guard(lock_);
  if (record_.state != "unknown")
    return std::vector<ledger_answer>();
  return std::vector<ledger_answer>{record_};
}

result<ledger_answer> fake_operator_api::ShowLedger(const ledger_query& query) {
  Note("ledger " + query.service + " " + query.key);
  std::lock_guard guard(lock_);
  if (query.service != record_.service || query.key != record_.key)
    return MakeError(result_code::kUnknownLedgerKey, query.key);
  return record_;
}

result<ledger_answer> fake_operator_api::ResolveLedger(
    const ledger_resolve_request& request) {
  Note("resolve " + request.which.key + " " + request.reason);
  std::lock_guard guard(lock_);
  if (record_.state != "unknown")
    return MakeError(result_code::kLedgerKeySettled, record_.state);
  record_.state = NameOf(kLedgerResolutionNames, request.as);
  record_.settled_by = request.operator_name;
  record_.reason = request.reason;
  return record_;
}

void fake_operator_api::RefuseNext(error reason) {
  std::lock_guard guard(lock_);
  refusal_ = std::move(reason);
}

void fake_operator_api::FailNextAfterEffect(error reason) {
  std::lock_guard guard(lock_);
  late_failure_ = std::move(reason);
}

void fake_operator_api::NeedWitness() {
  std::lock_guard guard(lock_);
  need_witness_ = true;
}

void fake_operator_api::LoseNext() {
  std::lock_guard guard(lock_);
  lose_next_ = true;
}

void fake_operator_api::AcceptOther() {
  Change("id-other", "somebody").value();
}

void fake_operator_api::LagMembers(int status_calls) {
  std::lock_guard guard(lock_);
  lag_ = status_calls;
}

std::vector<std::string> fake_operator_api::calls() const {
  std::lock_guard guard(lock_);
  return calls_;
}

std::uint64_t fake_operator_api::version() const {
  std::lock_guard guard(lock_);
  return version_;
}

result<apply_answer> fake_operator_api::Change(const std::string& id,
                                               const std::string& name) {
  std::lock_guard guard(lock_);
  if (refusal_)
    return *std::exchange(refusal_, std::nullopt);
  if (std::exchange(lose_next_, false))
    return apply_answer{version_ + 1, ""};
  history_entry entry;
  entry.apply_id = id;
  entry.operator_name = name;
  if (need_witness_) {
    entry.proposal = id;
    entry.state = history_state::kProposed;
    history_.push_back(entry);
    return apply_answer{0, id};
  }
  entry.version = ++version_;
  history_.push_back(entry);
  if (late_failure_)
    return *std::exchange(late_failure_, std::nullopt);
  return apply_answer{version_, ""};
}

void fake_operator_api::Note(const std::string& call) {
  std::lock_guard guard(lock_);
  calls_.push_back(call);
}

}  // namespace samphire
