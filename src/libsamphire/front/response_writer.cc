#include "front/response_writer.h"

#include <Poco/Timestamp.h>
#include <fmt/format.h>

#include <algorithm>

#include "base/log.h"
#include "front/header_names.h"
#include "proxy/head_writer.h"

namespace samphire {

namespace {

// Lower bound of the reported retry time. The standard form of Retry-After has
// a resolution of whole seconds, so its smallest value is one; the millisecond
// header and the fractional form report the time exactly.
constexpr milliseconds kMinRetryAfter{100};

void SetRetryAfter(Poco::Net::HTTPResponse& response,
                   milliseconds wait,
                   bool fractional) {
  const auto reported = std::max(wait, kMinRetryAfter);
  if (fractional) {
    response.set(
        kHeaderRetryAfter,
        fmt::format("{:.3f}", std::chrono::duration<double>(reported).count()));
    return;
  }
  response.set(kHeaderRetryAfter,
               std::to_string(
                   std::chrono::ceil<std::chrono::seconds>(reported).count()));
  response.set(kHeaderRetryAfterMs, std::to_string(reported.count()));
}

constexpr std::string_view kProblemType = "application/problem+json";

void SetRefusalHead(Poco::Net::HTTPResponse& response,
                    const response_status& status) {
  const auto& info = InfoOf(status.code);
  response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(info.http_status),
      std::string(info.name));
  SetStatusHeaders(response, status);
  response.set("Cache-Control", "no-store");
}

std::string RefusalBody(const response_status& status) {
  const auto& info = InfoOf(status.code);
  return fmt::format(
      R"({{"code":{},"name":"{}","meaning":{},"run":"{}","detail":{}}})"
      "\n",
      static_cast<int>(status.code), info.name, JsonQuote(info.meaning),
      NameOf(kRunStateNames, status.run), JsonQuote(status.detail));
}

}  // namespace

void SetStatusHeaders(Poco::Net::HTTPResponse& response,
                      const response_status& status) {
  const auto& info = InfoOf(status.code);
  response.set(kHeaderResult,
               fmt::format("{} {}", static_cast<int>(status.code), info.name));
  response.set(kHeaderRun, std::string(NameOf(kRunStateNames, status.run)));
  response.set(kHeaderConfig, std::to_string(status.config_version));
  if (info.retryable)
    SetRetryAfter(response, status.retry_after, status.fractional_retry_after);
}

// Repeats the headers in the body, adding only an explanation, under a content
// type of its own, so that a refusal can't be mistaken for data: a dashboard
// that ignores the HTTP status would otherwise display the body as a reading.
void WriteRefusal(Poco::Net::HTTPServerResponse& response,
                  const response_status& status) {
  SetRefusalHead(response, status);
  WriteBody(response, kProblemType, RefusalBody(status));
}

std::string RenderRefusal(const response_status& status) {
  Poco::Net::HTTPResponse response;
  response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  response.setDate(Poco::Timestamp());
  response.setKeepAlive(false);
  SetRefusalHead(response, status);
  const auto body = RefusalBody(status);
  response.setContentType(std::string(kProblemType));
  response.setContentLength(static_cast<std::streamsize>(body.size()));
  return WriteHead(response).value() + body;
}

void WriteBody(Poco::Net::HTTPServerResponse& response,
               std::string_view content_type,
               const std::string& body) {
  response.setContentType(std::string(content_type));
  response.sendBuffer(body.data(), body.size());
}

}  // namespace samphire
