#include "gateway/status_reader.h"

#include <Poco/NumberParser.h>

#include "front/header_names.h"

namespace samphire {

std::optional<response_status> ReadStatusHeaders(
    const Poco::Net::HTTPResponse& head) {
  const auto result_text = head.get(kHeaderResult, "");
  int number = 0;
  Poco::UInt64 version = 0;
  Poco::UInt64 retry_after = 0;
  const auto code = Poco::NumberParser::tryParse(
                        result_text.substr(0, result_text.find(' ')), number)
                        ? ResultCodeOf(number)
                        : std::nullopt;
  const auto run = ValueOf(kRunStateNames, head.get(kHeaderRun, ""));
  if (!code || !run)
    return std::nullopt;
  Poco::NumberParser::tryParseUnsigned64(head.get(kHeaderConfig, "0"), version);
  Poco::NumberParser::tryParseUnsigned64(head.get(kHeaderRetryAfterMs, "0"),
                                         retry_after);
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
