#include "ctl/fake_operator_api.h"

#include <algorithm>
#include <utility>

#include "config/declaration_reader.h"

namespace samphire {

result<void> fake_operator_api::Check(const std::string& text) {
  RecordCall("check " + text);
  if (const auto read = ReadAcceptedDeclaration(text); !read)
    return read.error();
  return Success();
}

result<apply_response> fake_operator_api::Apply(
    const declaration_apply_request& request) {
  RecordCall("apply " + request.operator_name + " " +
             (request.expect ? std::to_string(*request.expect) : "any") + " " +
             request.text);
  if (request.expect && *request.expect != version())
    return MakeError(result_code::kVersionConflict, "another version");
  return Change(request.apply_id, request.operator_name);
}

result<config_response> fake_operator_api::Config() {
  RecordCall("config");
  return config_response{version(), "id-40", "rui", "{\"name\":\"in-force\"}"};
}

result<std::vector<history_entry>> fake_operator_api::History() {
  RecordCall("history");
  std::lock_guard guard(lock_);
  return std::vector<history_entry>(history_.rbegin(), history_.rend());
}

result<apply_response> fake_operator_api::Witness(
    const witness_request& request) {
  RecordCall("witness " + request.proposal + " " + request.operator_name);
  std::lock_guard guard(lock_);
  const auto found = std::find_if(
      history_.begin(), history_.end(),
      [&](const auto& entry) { return entry.proposal == request.proposal; });
  if (found == history_.end())
    return MakeError(result_code::kUnknownProposal, request.proposal);
  if (found->operator_name == request.operator_name)
    return MakeError(result_code::kWitnessIsProposer);
  if (std::exchange(drop_next_change_, false))
    return apply_response{version_ + 1, ""};
  found->witness = request.operator_name;
  found->state = history_state::kAccepted;
  found->version = ++version_;
  return apply_response{version_, ""};
}

result<status_response> fake_operator_api::Status() {
  RecordCall("status");
  std::lock_guard guard(lock_);
  const auto seen = delayed_status_calls_ > 0 ? version_ - 1 : version_;
  delayed_status_calls_ = std::max(0, delayed_status_calls_ - 1);
  status_response status;
  status.instance = "entry-1";
  status.region = "colombo";
  status.config_version = version_;
  status.config_age = milliseconds(12);
  status.members = {{"entry-1", "colombo", "live", version_},
                    {"entry-2", "kandy", "live", seen},
                    {"entry-3", "galle", "dead", 1}};
  status.details = "{\"allowances\":{\"colombo\":12}}";
  return status;
}

result<std::vector<drain>> fake_operator_api::Drains() {
  RecordCall("drains");
  std::lock_guard guard(lock_);
  return drains_;
}

result<apply_response> fake_operator_api::AddDrain(
    const drain_add_request& request) {
  RecordCall("drain add " + request.drain.name);
  {
    std::lock_guard guard(lock_);
    drains_.push_back(request.drain);
  }
  return Change(request.apply_id, request.operator_name);
}

result<apply_response> fake_operator_api::RemoveDrain(
    const drain_remove_request& request) {
  RecordCall("drain remove " + request.drain_name);
  {
    std::lock_guard guard(lock_);
    if (std::erase_if(drains_, [&](const auto& one) {
          return one.name == request.drain_name;
        }) == 0)
      return MakeError(result_code::kUnknownDrain, request.drain_name);
  }
  return Change(request.apply_id, request.operator_name);
}

result<std::vector<reservation_status>> fake_operator_api::Unresolved() {
  RecordCall("unresolved");
  std::lock_guard guard(lock_);
  if (record_.state != "unknown")
    return std::vector<reservation_status>();
  return std::vector<reservation_status>{record_};
}

result<reservation_status> fake_operator_api::ShowLedger(
    const ledger_query& query) {
  RecordCall("ledger " + query.service + " " + query.key);
  std::lock_guard guard(lock_);
  if (query.service != record_.service || query.key != record_.key)
    return MakeError(result_code::kUnknownLedgerKey, query.key);
  return record_;
}

result<reservation_status> fake_operator_api::ResolveLedger(
    const ledger_resolve_request& request) {
  RecordCall("resolve " + request.which.key + " " + request.reason);
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

void fake_operator_api::FailNextAfterApply(error reason) {
  std::lock_guard guard(lock_);
  failure_after_apply_ = std::move(reason);
}

void fake_operator_api::RequireWitness() {
  std::lock_guard guard(lock_);
  require_witness_ = true;
}

void fake_operator_api::DropNextChange() {
  std::lock_guard guard(lock_);
  drop_next_change_ = true;
}

void fake_operator_api::AcceptConcurrentChange() {
  Change("id-other", "somebody").value();
}

void fake_operator_api::DelayMembers(int status_calls) {
  std::lock_guard guard(lock_);
  delayed_status_calls_ = status_calls;
}

std::vector<std::string> fake_operator_api::calls() const {
  std::lock_guard guard(lock_);
  return calls_;
}

std::uint64_t fake_operator_api::version() const {
  std::lock_guard guard(lock_);
  return version_;
}

result<apply_response> fake_operator_api::Change(const std::string& id,
                                                 const std::string& name) {
  std::lock_guard guard(lock_);
  if (refusal_)
    return *std::exchange(refusal_, std::nullopt);
  if (std::exchange(drop_next_change_, false))
    return apply_response{version_ + 1, ""};
  history_entry entry;
  entry.apply_id = id;
  entry.operator_name = name;
  if (require_witness_) {
    entry.proposal = id;
    entry.state = history_state::kProposed;
    history_.push_back(entry);
    return apply_response{0, id};
  }
  entry.version = ++version_;
  history_.push_back(entry);
  if (failure_after_apply_)
    return *std::exchange(failure_after_apply_, std::nullopt);
  return apply_response{version_, ""};
}

void fake_operator_api::RecordCall(const std::string& call) {
  std::lock_guard guard(lock_);
  calls_.push_back(call);
}

}  // namespace samphire
