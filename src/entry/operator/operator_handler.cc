#include "entry/operator/operator_handler.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <fmt/format.h>

#include <algorithm>
#include <string_view>

#include "base/log.h"
#include "entry/operator/operator_json.h"
#include "entry/operator/secret_equals.h"
#include "front/front_request.h"

namespace samphire {

namespace {

constexpr std::string_view kBearer = "Bearer ";
// Value of Retry-After on errors that are worth retrying.
constexpr const char* kRetryAfterSeconds = "1";

// Returns the result code of a call, be it a refusal or an outcome.
error OutcomeOf(const result<operator_outcome>& answer) {
  return answer.has_error() ? answer.error() : MakeError(answer.value().code);
}

}  // namespace

operator_handler::operator_handler(operator_api& api,
                                   const std::string& token,
                                   const operator_limits& limits,
                                   samphire::metrics& counters)
    : api_(api), token_(token), limits_(limits), metrics_(counters) {}

void operator_handler::handleRequest(Poco::Net::HTTPServerRequest& request,
                                     Poco::Net::HTTPServerResponse& response) {
  const auto answer = HandleCall(request);
  const auto outcome = OutcomeOf(answer);
  const auto& info = InfoOf(outcome.code);
  metrics_.Count("operator_calls_total",
                 fmt::format("result=\"{}\"", info.name));
  Log(answer.has_error() ? log_level::kWarning : log_level::kInfo,
      "operator-call",
      {{"method", request.getMethod()},
       {"path", request.getURI().substr(0, request.getURI().find('?'))},
       {"result", info.name},
       {"detail", outcome.detail}});
  if (answer.has_error()) {
    metrics_.CountRefusal(outcome.code);
    // Part of the body may be unread and must not be parsed as the next
    // request, so the connection is closed.
    response.setKeepAlive(false);
  }
  const auto body =
      OperatorResponseText(outcome, answer.has_error() ? Poco::JSON::Object()
                                                       : answer.value().fields);
  response.setStatus(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(info.http_status));
  response.set("Samphirewinch-Result",
               fmt::format("{} {}", static_cast<int>(info.code), info.name));
  if (info.retryable)
    response.set("Retry-After", kRetryAfterSeconds);
  response.setContentType("application/json");
  response.sendBuffer(body.data(), body.size());
}

// Checks the token first: an unauthorized client learns nothing about which
// calls exist and cannot make the entry read a body.
result<operator_outcome> operator_handler::HandleCall(
    Poco::Net::HTTPServerRequest& request) {
  if (!IsAuthorized(request))
    return MakeError(result_code::kUnauthorized);
  BOOST_OUTCOME_TRY(call,
                    ParseOperatorCall(request.getMethod(), request.getURI()));
  BOOST_OUTCOME_TRY(body, ReadBody(request));
  call.body = std::move(body);
  return DispatchOperatorCall(api_, call);
}

bool operator_handler::IsAuthorized(
    const Poco::Net::HTTPServerRequest& request) const {
  const std::string given = request.get("Authorization", "");
  return given.starts_with(kBearer) &&
         SecretEquals(token_, std::string_view(given).substr(kBearer.size()));
}

// Bounds the body in bytes and in time, because a stalled connection must not
// occupy a thread that another operator needs during an incident. A body that
// breaks off is never treated as the complete file.
result<std::string> operator_handler::ReadBody(
    Poco::Net::HTTPServerRequest& request) const {
  return static_cast<front_request&>(request).ReadBody(
      limits_.max_body_bytes,
      std::chrono::steady_clock::now() + limits_.body_timeout);
}

}  // namespace samphire
