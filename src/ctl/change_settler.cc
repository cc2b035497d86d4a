#include "ctl/change_settler.h"

#include <Poco/JSON/Array.h>
#include <Poco/UUIDGenerator.h>
#include <fmt/format.h>

#include <optional>
#include <thread>

namespace samphire {

namespace {

using Poco::JSON::Object;

constexpr milliseconds kPollEvery{200};

std::uint64_t VersionOf(const Object& json, const char* field) {
  return json.optValue<Poco::UInt64>(field, 0);
}

// Codes with which an entry itself says that it doesn't know.
bool IsInDoubt(const ctl_answer& answer) {
  return answer.failure == call_failure::kAnswerLost ||
         answer.outcome.code == result_code::kApplyOutcomeUnknown ||
         answer.outcome.code == result_code::kStoreOutcomeUnknown;
}

// A proposal that is still waiting says nothing of a witness whose answer was
// lost: the consent may be on its way into the platform. So for a witness only
// an accepted change counts.
bool IsMeant(const Object& entry, const change_id& id) {
  const bool named = entry.optValue<std::string>("apply_id", "") == id.text ||
                     entry.optValue<std::string>("proposal", "") == id.text;
  return named &&
         (id.kind == change_kind::kApply || VersionOf(entry, "version") > 0);
}

// What the history knows of a change: its entry, if it is there; and whether
// another change took the version that it had to follow, so that it never can
// be there.
struct history_finding {
  Object::Ptr entry;
  bool overtaken = false;
};

history_finding FindIn(const Object& history,
                       const change_id& id,
                       std::optional<std::uint64_t> expect) {
  history_finding found;
  const auto entries = history.getArray("history");
  for (unsigned int i = 0; entries && i < entries->size(); ++i) {
    const auto entry = entries->getObject(i);
    if (IsMeant(*entry, id) &&
        (!found.entry || VersionOf(*entry, "version") > 0))
      found.entry = entry;
    found.overtaken |= expect && VersionOf(*entry, "version") > *expect;
  }
  return found;
}

// Entries learn of a change within seconds, and the one that took it may still
// be writing; so the history is asked again for a while before giving up.
history_finding Settle(const command_context& context, const change_id& id) {
  const auto deadline =
      std::chrono::steady_clock::now() + context.options.settle;
  history_finding found;
  do {
    const auto history =
        context.client.Read({"GET", "/v1/config/history", {}, ""});
    if (!history.failure && history.body)
      found = FindIn(*history.body, id, context.options.expect);
    if (found.entry || found.overtaken)
      return found;
    std::this_thread::sleep_for(kPollEvery);
  } while (std::chrono::steady_clock::now() < deadline);
  return found;
}

bool EveryMemberHas(const Object& status, std::uint64_t version) {
  const auto members = status.getArray("members");
  if (!members || VersionOf(status, "config_version") < version)
    return false;
  for (unsigned int i = 0; i < members->size(); ++i) {
    if (VersionOf(*members->getObject(i), "config_version") < version)
      return false;
  }
  return true;
}

bool AwaitEverywhere(const command_context& context, std::uint64_t version) {
  const auto deadline =
      std::chrono::steady_clock::now() + context.options.wait_limit;
  while (true) {
    const auto status = context.client.Read({"GET", "/v1/status", {}, ""});
    if (!status.failure && status.body && EveryMemberHas(*status.body, version))
      return true;
    if (std::chrono::steady_clock::now() >= deadline)
      return false;
    std::this_thread::sleep_for(kPollEvery);
  }
}

exit_code Proposed(const command_context& context,
                   const std::string& proposal,
                   const Object::Ptr& body) {
  return context.out.Refused(
      MakeError(result_code::kWitnessNeeded, "proposal " + proposal), body,
      "Another operator accepts it with: samphirectl witness " + proposal);
}

// Accepted yet not seen everywhere is neither done as asked nor refused: a
// script that took it for a refusal would believe the old file in force.
exit_code Accepted(const command_context& context,
                   std::uint64_t version,
                   const std::string& id,
                   const Object::Ptr& body) {
  if (context.options.wait && !AwaitEverywhere(context, version)) {
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

exit_code Settled(const command_context& context, const change_id& id) {
  const auto found = Settle(context, id);
  if (found.entry && VersionOf(*found.entry, "version") > 0) {
    return Accepted(context, VersionOf(*found.entry, "version"), id.text,
                    found.entry);
  }
  if (found.entry) {
    return Proposed(context, found.entry->optValue<std::string>("proposal", ""),
                    found.entry);
  }
  if (found.overtaken) {
    return context.out.Refused(
        MakeError(result_code::kVersionConflict,
                  "the answer was lost, and another change was accepted"));
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

exit_code MakeChange(command_context& context,
                     const ctl_call& call,
                     const change_id& id) {
  const auto answer = context.client.Change(call);
  if (IsInDoubt(answer))
    return Settled(context, id);
  if (answer.outcome.code == result_code::kWitnessNeeded && answer.body) {
    return Proposed(context, answer.body->optValue<std::string>("proposal", ""),
                    answer.body);
  }
  if (answer.failure || answer.outcome.code != result_code::kOk)
    return context.out.Refused(answer.outcome, answer.body);
  return Accepted(context, VersionOf(*answer.body, "version"), id.text,
                  answer.body);
}

}  // namespace samphire
