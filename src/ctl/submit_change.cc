#include "ctl/submit_change.h"

#include <Poco/JSON/Array.h>
#include <Poco/UUIDGenerator.h>
#include <fmt/format.h>

#include <optional>
#include <thread>

namespace samphire {

namespace {

using Poco::JSON::Object;

// Interval between polls of the history or the status of an entry.
constexpr milliseconds kPollInterval{200};

std::uint64_t VersionOf(const Object& json, const char* field) {
  return json.optValue<Poco::UInt64>(field, 0);
}

// Returns whether the change may have been executed: the response was lost, or
// the entry itself reports that it does not know the outcome.
bool IsOutcomeUnknown(const ctl_response& response) {
  return response.failure == call_failure::kResponseLost ||
         response.outcome.code == result_code::kApplyOutcomeUnknown ||
         response.outcome.code == result_code::kStoreOutcomeUnknown;
}

// Returns whether `entry` of the history shows the change `id`: as accepted, or
// for an apply also as proposed. A witness call counts only once the proposal
// has a version: a proposal that is still pending says nothing about a witness
// call whose response was lost, since the write may still be on its way to the
// platform.
bool MatchesChange(const Object& entry, const change_id& id) {
  const bool named = entry.optValue<std::string>("apply_id", "") == id.text ||
                     entry.optValue<std::string>("proposal", "") == id.text;
  return named &&
         (id.kind == change_kind::kApply || VersionOf(entry, "version") > 0);
}

// What the history says about a change: its entry, if it is listed; and whether
// another change already took the version that it required (`expect`), in which
// case it can never be listed.
struct history_lookup {
  Object::Ptr entry;
  bool superseded = false;
};

// Searches `history` for the change `id`. An accepted entry takes precedence
// over a proposed one.
history_lookup FindChange(const Object& history,
                          const change_id& id,
                          std::optional<std::uint64_t> expect) {
  history_lookup found;
  const auto entries = history.getArray("history");
  for (unsigned int i = 0; entries && i < entries->size(); ++i) {
    const auto entry = entries->getObject(i);
    if (MatchesChange(*entry, id) &&
        (!found.entry || VersionOf(*entry, "version") > 0))
      found.entry = entry;
    found.superseded |= expect && VersionOf(*entry, "version") > *expect;
  }
  return found;
}

// Polls the history until it shows the change or rules it out, or until
// settle_timeout has passed. Polling is needed because entries learn of a
// change only within seconds, and the entry that received it may still be
// writing.
history_lookup AwaitHistoryEntry(const command_context& context,
                                 const operator_client& reordered_client,
                                 const change_id& id) {
  const auto deadline =
      std::chrono::steady_clock::now() + context.options.settle_timeout;
  history_lookup found;
  do {
    const auto history =
        reordered_client.Read({"GET", "/v1/config/history", {}, ""});
    if (!history.failure && history.body)
      found = FindChange(*history.body, id, context.options.expect);
    if (found.entry || found.superseded)
      return found;
    std::this_thread::sleep_for(kPollInterval);
  } while (std::chrono::steady_clock::now() < deadline);
  return found;
}

// Returns whether a live member has an older version. Members declared failed
// are ignored: they never receive the version and serve no requests. A
// suspected member may be alive and still serve with the old version, so it
// counts.
bool LacksVersion(const Object& member, std::uint64_t version) {
  return member.optValue<std::string>("state", "") != "dead" &&
         VersionOf(member, "config_version") < version;
}

bool AllMembersHave(const Object& status, std::uint64_t version) {
  const auto members = status.getArray("members");
  if (!members || VersionOf(status, "config_version") < version)
    return false;
  for (unsigned int i = 0; i < members->size(); ++i) {
    if (LacksVersion(*members->getObject(i), version))
      return false;
  }
  return true;
}

// Polls the status of one entry until all members have `version`. Returns false
// if wait_limit passes first.
bool AwaitAllMembers(const command_context& context, std::uint64_t version) {
  const auto deadline =
      std::chrono::steady_clock::now() + context.options.wait_limit;
  while (true) {
    const auto status = context.client.Read({"GET", "/v1/status", {}, ""});
    if (!status.failure && status.body && AllMembersHave(*status.body, version))
      return true;
    if (std::chrono::steady_clock::now() >= deadline)
      return false;
    std::this_thread::sleep_for(kPollInterval);
  }
}

// Reports a change that needs the approval of a second operator.
exit_code ReportProposed(const command_context& context,
                         const std::string& proposal,
                         const Object::Ptr& body) {
  return context.out.Refused(
      MakeError(result_code::kWitnessNeeded, "proposal " + proposal), body,
      "Another operator accepts it with: samphirectl witness " + proposal);
}

// Reports an accepted change. If --wait was given and not all members have the
// version in time, the exit code is kUnknown: with kRefused, a script would
// conclude that the old declaration is still in force.
exit_code ReportAccepted(const command_context& context,
                         std::uint64_t version,
                         const std::string& id,
                         const Object::Ptr& body) {
  if (context.options.wait && !AwaitAllMembers(context, version)) {
    return context.out.Unknown(
        MakeError(result_code::kNotInForceYet,
                  fmt::format("version {} is accepted", version)),
        "samphirectl status");
  }
  return context.out.Done(
      fmt::format("accepted as version {}{}, id {}", version,
                  context.options.wait ? ", in force everywhere" : "", id),
      body);
}

// Determines and reports the outcome of a change whose response was lost. The
// entry at `unresponsive_url` is called last.
exit_code ResolveLostResponse(const command_context& context,
                              const std::string& unresponsive_url,
                              const change_id& id) {
  const auto found = AwaitHistoryEntry(
      context, context.client.WithUrlLast(unresponsive_url), id);
  if (found.entry && VersionOf(*found.entry, "version") > 0) {
    return ReportAccepted(context, VersionOf(*found.entry, "version"), id.text,
                          found.entry);
  }
  if (found.entry) {
    return ReportProposed(context,
                          found.entry->optValue<std::string>("proposal", ""),
                          found.entry);
  }
  if (found.superseded) {
    return context.out.Refused(MakeError(
        result_code::kVersionConflict,
        "the response was lost, and another change was accepted first"));
  }
  return context.out.Unknown(
      MakeError(result_code::kApplyOutcomeUnknown, "id " + id.text),
      "samphirectl config history, and look for id " + id.text);
}

}  // namespace

change_id NewApplyId() {
  return {change_kind::kApply,
          Poco::UUIDGenerator::defaultGenerator().createRandom().toString()};
}

exit_code SubmitChange(command_context& context,
                       const ctl_call& call,
                       const change_id& id) {
  const auto response = context.client.Change(call);
  if (IsOutcomeUnknown(response))
    return ResolveLostResponse(context, response.url, id);
  if (response.outcome.code == result_code::kWitnessNeeded && response.body) {
    return ReportProposed(context,
                          response.body->optValue<std::string>("proposal", ""),
                          response.body);
  }
  if (response.failure || response.outcome.code != result_code::kOk)
    return context.out.Refused(response.outcome, response.body);
  return ReportAccepted(context, VersionOf(*response.body, "version"), id.text,
                        response.body);
}

}  // namespace samphire
