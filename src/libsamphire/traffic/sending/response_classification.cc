#include "traffic/sending/response_classification.h"

#include <optional>
#include <sstream>
#include <string>

#include "front/header_names.h"

namespace samphire {

namespace {

// Parses a load report of the form RUNNING,WAITING,SLOTS. Returns nothing if it
// is malformed.
std::optional<target_report> ReadReport(const std::string& text) {
  target_report report;
  std::istringstream in(text);
  char comma = 0;
  if (in >> report.running >> comma >> report.waiting >> comma >> report.slots)
    return report;
  return std::nullopt;
}

// Only a response that the target itself produced tells what it asks for. A
// malformed header is no statement either: taken for a missing one, it would
// end a limit.
std::optional<target_notice> ReadNotice(const traffic_context& context,
                                        const Poco::Net::HTTPResponse& head) {
  if (!head.has(context.headers.target_stamp) &&
      !head.has(context.headers.not_run))
    return std::nullopt;
  target_notice notice{.leaving = head.has(context.headers.target_leaving)};
  if (const auto& name = context.headers.target_rate_limit; head.has(name)) {
    notice.rate_limit = ParseRateLimit(head.get(name));
    if (!notice.rate_limit) {
      context.counters.Count("target_notices_malformed_total");
      return std::nullopt;
    }
  }
  if (head.getStatus() == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE &&
      head.has(kHeaderRetryAfter)) {
    notice.pause = ParsePause(head.get(kHeaderRetryAfter));
    if (!notice.pause)
      context.counters.Count("target_notices_malformed_total");
  }
  return notice;
}

}  // namespace

// Only an explicit statement of the target that it did not run the request
// counts as proof: any other failure, 503 included, may follow after the work
// was done.
void ClassifyResponse(const traffic_context& context,
                      const Poco::Net::HTTPResponse& head,
                      target_exchange_end& end) {
  const int status = head.getStatus();
  end.attempt.notice = ReadNotice(context, head);
  end.attempt.report = ReadReport(head.get(context.headers.target_load, ""));
  if (status == Poco::Net::HTTPResponse::HTTP_MISDIRECTED_REQUEST) {
    end.attempt.result = attempt_result::kMisdirected;
    end.reason = result_code::kTargetUnreachable;
    end.sent.may_have_run = false;
  } else if (head.has(context.headers.not_run)) {
    end.attempt.result = attempt_result::kTargetRefused;
    end.reason = result_code::kTargetShedding;
    end.sent.may_have_run = false;
  } else if (!head.has(context.headers.target_stamp)) {
    // The response lacks the stamp that targets set when they run a request, so
    // it does not result from running the request, whatever its status.
    end.attempt.result = attempt_result::kLost;
    end.reason = result_code::kTargetFailed;
  } else {
    end.attempt.result = status >= 500 ? attempt_result::kTargetError
                                       : attempt_result::kAnswered;
  }
}

}  // namespace samphire
