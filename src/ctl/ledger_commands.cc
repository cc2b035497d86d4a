#include <fmt/format.h>

#include "ctl/commands.h"

namespace samphire {

namespace {

using Poco::JSON::Object;

// Returns the non-empty fields of the record in the response, one a line.
std::string RecordText(const Object& body) {
  std::string text;
  const auto record = body.getObject("record");
  if (!record)
    return "none";
  for (const auto& name : record->getNames()) {
    const auto value = record->optValue<std::string>(name, "");
    if (!value.empty())
      text += fmt::format("{}: {}\n", name, value);
  }
  return text;
}

std::string LedgerPath(const command_context& context) {
  return "/v1/ledger/" + PathSegment(context.arguments.front());
}

ctl_response ReadRecord(const command_context& context) {
  return context.client.Read(
      {"GET", LedgerPath(context), {{"service", context.options.service}}, ""});
}

}  // namespace

exit_code ShowLedger(command_context& context) {
  const auto response = ReadRecord(context);
  if (response.failure || response.outcome.code != result_code::kOk)
    return context.out.Refused(response.outcome, response.body);
  return context.out.Done(RecordText(*response.body), response.body);
}

// If the response is lost, the record itself is read: if it has the requested
// state and was resolved by this operator, the call took effect.
exit_code ResolveLedger(command_context& context) {
  const auto& options = context.options;
  auto response = context.client.Change({"POST",
                                         LedgerPath(context) + "/resolve",
                                         {{"service", options.service},
                                          {"as", options.as},
                                          {"operator", options.operator_name},
                                          {"reason", options.reason}},
                                         ""});
  if (response.failure == call_failure::kResponseLost) {
    const auto now = ReadRecord(context);
    const auto record = now.body ? now.body->getObject("record") : nullptr;
    if (record && record->optValue<std::string>("state", "") == options.as &&
        record->optValue<std::string>("settled_by", "") ==
            options.operator_name)
      response = now;
  }
  if (!response.failure && response.outcome.code == result_code::kOk)
    return context.out.Done(RecordText(*response.body), response.body);
  return context.out.Failed(
      response, fmt::format("samphirectl ledger show {} --service={}",
                            context.arguments.front(), options.service));
}

}  // namespace samphire
