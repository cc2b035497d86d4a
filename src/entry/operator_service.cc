#include "entry/operator_service.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "config/declaration_reader.h"
#include "config/declaration_writer.h"
#include "config/wall_time_text.h"

namespace samphire {

namespace {

// The state shown for a ledger shard that cannot be read.
constexpr const char* kUnreadableShard = "unreadable-shard";

history_entry EntryOf(const config_change& change) {
  return {.version = change.version,
          .apply_id = change.apply_id,
          .operator_name = change.operator_name,
          .witness = change.witness,
          .proposal = change.witness.empty() ? "" : change.apply_id,
          .state = history_state::kAccepted,
          .at = ParseWallTime(change.at).value_or(wall_time{})};
}

history_entry EntryOf(const config_proposal& proposal) {
  return {.apply_id = proposal.id,
          .operator_name = proposal.operator_name,
          .proposal = proposal.id,
          .state = history_state::kProposed};
}

reservation_status ReservationStatusOf(const ledger_entry& entry) {
  return {.service = entry.service,
          .key = entry.key,
          .state = std::string(NameOf(kReservationStateNames, entry.state)),
          .holder = entry.holder.instance,
          .reserved_at = entry.changed_at,
          .settled_by = entry.settled_by,
          .reason = entry.reason};
}

member_status StatusOf(const member& each) {
  return {.name = each.name,
          .region = each.region,
          .state = std::string(NameOf(kMemberStateNames, each.state)),
          .config_version = each.digest.config_version};
}

}  // namespace

operator_service::operator_service(entry_node& node)
    : node_(node), publisher_(node.store(), node.clock(), node.counters()) {}

// Validates against the declaration in force: the times of a drain in force may
// have passed since it was declared, and a file that repeats it is still valid.
result<declaration> operator_service::Read(const std::string& text) {
  const auto image = node_.configuration().image();
  if (!image)
    return ReadDeclaration(text, node_.clock().wall_now());
  return ReadDeclaration(text, node_.clock().wall_now(), &image->frame());
}

result<void> operator_service::Check(const std::string& text) {
  auto read = Read(text);
  if (!read)
    return read.error();
  return Success();
}

result<apply_response> operator_service::Apply(
    const declaration_apply_request& request) {
  BOOST_OUTCOME_TRY(declared, Read(request.text));
  // Offers the configuration that this entry has in memory, so that the
  // publisher need not load it to compute the difference.
  if (auto image = node_.configuration().image())
    publisher_.CacheImage(std::move(image));
  return FinishChange(
      publisher_.Apply(
          declared, {request.apply_id, request.operator_name, request.expect}),
      request.apply_id, request.operator_name);
}

result<apply_response> operator_service::FinishChange(
    const result<apply_receipt>& receipt,
    const std::string& apply_id,
    const std::string& operator_name) {
  if (receipt) {
    Log(log_level::kInfo, "applied",
        {{"version", receipt.value().version},
         {"apply_id", apply_id},
         {"operator", operator_name}});
    return apply_response{.version = receipt.value().version};
  }
  if (receipt.error().code == result_code::kWitnessNeeded)
    return apply_response{.proposal = apply_id};
  Log(log_level::kWarning, "apply-refused",
      {{"apply_id", apply_id},
       {"operator", operator_name},
       {"code", static_cast<int>(receipt.error().code)},
       {"detail", receipt.error().detail}});
  return receipt.error();
}

result<config_response> operator_service::Config() {
  const auto image = node_.configuration().image();
  if (!image)
    return MakeError(result_code::kNoConfiguration);
  const auto& change = image->root().change;
  return config_response{.version = image->version(),
                         .apply_id = change.apply_id,
                         .operator_name = change.operator_name,
                         .text = WriteDeclaration(image->Assemble())};
}

// Reads from the platform instead of local state: an operator who looks up the
// outcome of an apply must not see a state from before it.
result<std::vector<history_entry>> operator_service::History() {
  std::vector<history_entry> history;
  BOOST_OUTCOME_TRY(proposals, publisher_.Proposals());
  for (const auto& each : proposals)
    history.push_back(EntryOf(each));
  const auto present = publisher_.Current();
  if (!present) {
    if (present.error().code == result_code::kNoConfiguration)
      return history;
    return present.error();
  }
  auto changes = present.value()->History();
  std::reverse(changes.begin(), changes.end());
  for (const auto& each : changes)
    history.push_back(EntryOf(each));
  return history;
}

result<apply_response> operator_service::Witness(
    const witness_request& request) {
  return FinishChange(
      publisher_.Witness(request.proposal, request.operator_name),
      request.proposal, request.operator_name);
}

result<status_response> operator_service::Status() {
  status_response answer;
  answer.instance = node_.settings().instance;
  answer.region = node_.settings().region;
  answer.config_version = node_.configuration().AdvertisedConfig().version;
  answer.config_age = std::chrono::duration_cast<milliseconds>(
      node_.configuration().confirmed_age());
  for (const auto& each : node_.membership().members())
    answer.members.push_back(StatusOf(each));
  answer.details = node_.StatusText();
  return answer;
}

result<std::vector<drain>> operator_service::Drains() {
  const auto image = node_.configuration().image();
  if (!image)
    return MakeError(result_code::kNoConfiguration);
  return image->frame().drains;
}

result<apply_response> operator_service::AddDrain(
    const drain_add_request& request) {
  return FinishChange(
      publisher_.AddDrain(request.drain,
                          {request.apply_id, request.operator_name, {}}),
      request.apply_id, request.operator_name);
}

result<apply_response> operator_service::RemoveDrain(
    const drain_remove_request& request) {
  return FinishChange(
      publisher_.RemoveDrain(request.drain_name,
                             {request.apply_id, request.operator_name, {}}),
      request.apply_id, request.operator_name);
}

result<std::vector<reservation_status>> operator_service::Unresolved() {
  BOOST_OUTCOME_TRY(report, node_.reservations().Unresolved());
  std::vector<reservation_status> answers;
  // A shard that cannot be read must neither hide the records of the other
  // shards nor be omitted silently, so it is listed with a state of its own.
  for (const auto& shard : report.corrupt_shards)
    answers.push_back({.key = shard, .state = kUnreadableShard});
  for (const auto& each : report.entries)
    answers.push_back(samphire::ReservationStatusOf(each));
  return answers;
}

result<reservation_status> operator_service::ShowLedger(
    const ledger_query& query) {
  BOOST_OUTCOME_TRY(record,
                    node_.reservations().Show(query.service, query.key));
  auto answer = samphire::ReservationStatusOf(record.entry);
  if (record.in_doubt)
    answer.state = NameOf(kReservationStateNames, reservation_state::kUnknown);
  return answer;
}

result<reservation_status> operator_service::ResolveLedger(
    const ledger_resolve_request& request) {
  const auto as = request.as == ledger_resolution::kDone
                      ? resolution::kDone
                      : resolution::kReleased;
  BOOST_OUTCOME_TRYV(
      node_.reservations().Resolve(request.which.service, request.which.key, as,
                                   request.operator_name, request.reason));
  return ShowLedger(request.which);
}

}  // namespace samphire
