#include <fmt/format.h>

#include "ctl/commands.h"

namespace samphire {

namespace {

using Poco::JSON::Object;

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
  return "/v1/ledger/" + PathSegment(context.words.front());
}

ctl_answer ReadRecord(const command_context& context) {
  return context.client.Read(
      {"GET", LedgerPath(context), {{"service", context.options.service}}, ""});
}

}  // namespace

exit_code ShowLedger(command_context& context) {
  const auto answer = ReadRecord(context);
  if (answer.failure || answer.outcome.code != result_code::kOk)
    return context.out.Refused(answer.outcome, answer.body);
  return context.out.Done(RecordText(*answer.body), answer.body);
}

// A lost answer is settled by looking at the record: if it now says what was
// asked for, settled by this operator, the call took effect.
exit_code ResolveLedger(command_context& context) {
  const auto& options = context.options;
  auto answer = context.client.Change({"POST",
                                       LedgerPath(context) + "/resolve",
                                       {{"service", options.service},
                                        {"as", options.as},
                                        {"operator", options.operator_name},
                                        {"reason", options.reason}},
                                       ""});
  if (answer.failure == call_failure::kAnswerLost) {
    const auto now = ReadRecord(context);
    const auto record = now.body ? now.body->getObject("record") : nullptr;
    if (record && record->optValue<std::string>("state", "") == options.as &&
        record->optValue<std::string>("settled_by", "") ==
            options.operator_name)
      answer = now;
  }
  if (!answer.failure && answer.outcome.code == result_code::kOk)
    return context.out.Done(RecordText(*answer.body), answer.body);
  return context.out.Failed(
      answer, fmt::format("samphirectl ledger show {} --service={}",
                          context.words.front(), options.service));
}

}  // namespace samphire
