#include "gateway/status_reader.h"

#include <Poco/NumberParser.h>

#include "base/decimal_text.h"
#include "front/header_names.h"

namespace samphire {

std::optional<response_status> ReadStatusHeaders(
    const Poco::Net::HTTPResponse& head) {
  const auto result_text = head.get(kHeaderResult, "");
  int number = 0;
  const auto code = Poco::NumberParser::tryParse(
                        result_text.substr(0, result_text.find(' ')), number)
                        ? ResultCodeOf(number)
                        : std::nullopt;
  const auto run = ValueOf(kRunStateNames, head.get(kHeaderRun, ""));
  if (!code || !run)
    return std::nullopt;
  const auto version = ParseDecimal(head.get(kHeaderConfig, "")).value_or(0);
  const auto retry_after =
      ParseDecimal(head.get(kHeaderRetryAfterMs, "")).value_or(0);
  return response_status{.code = *code,
                         .run = *run,
                         .config_version = version,
                         .retry_after = milliseconds(retry_after)};
}

bool IsTargetResponse(const response_status& status) {
  return status.code == result_code::kOk ||
         status.code == result_code::kReplayed ||
         status.code == result_code::kAnswerTooLargeToRecord;
}

}  // namespace samphire
