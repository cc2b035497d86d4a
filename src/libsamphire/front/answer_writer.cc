#include "front/answer_writer.h"

#include <Poco/Timestamp.h>
#include <fmt/format.h>

#include <algorithm>
#include <sstream>

#include "base/log.h"
#include "front/header_names.h"

namespace samphire {

namespace {

// Retry-After counts whole seconds; the least that can be said is one.
constexpr milliseconds kLeastRetryAfter{100};

void SetRetryAfter(Poco::Net::HTTPResponse& response,
                   milliseconds wait,
                   bool fine) {
  const auto told = std::max(wait, kLeastRetryAfter);
  if (fine) {
    response.set(
        kHeaderRetryAfter,
        fmt::format("{:.3f}", std::chrono::duration<double>(told).count()));
    return;
  }
  response.set(
      kHeaderRetryAfter,
      std::to_string(std::chrono::ceil<std::chrono::seconds>(told).count()));
  response.set(kHeaderRetryAfterMs, std::to_string(told.count()));
}

constexpr std::string_view kProblemType = "application/problem+json";

void SetRefusalHead(Poco::Net::HTTPResponse& response,
                    const answer_note& note) {
  const auto& info = InfoOf(note.code);
  response.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(info.http_status),
      std::string(info.name));
  SetNoteHeaders(response, note);
  response.set("Cache-Control", "no-store");
}

std::string RefusalBody(const answer_note& note) {
  const auto& info = InfoOf(note.code);
  return fmt::format(
      R"({{"code":{},"name":"{}","meaning":{},"run":"{}","detail":{}}})"
      "\n",
      static_cast<int>(note.code), info.name, JsonQuote(info.meaning),
      NameOf(kRunStateNames, note.run), JsonQuote(note.detail));
}

}  // namespace

void SetNoteHeaders(Poco::Net::HTTPResponse& response,
                    const answer_note& note) {
  const auto& info = InfoOf(note.code);
  response.set(kHeaderResult,
               fmt::format("{} {}", static_cast<int>(note.code), info.name));
  response.set(kHeaderRun, std::string(NameOf(kRunStateNames, note.run)));
  response.set(kHeaderConfig, std::to_string(note.config_version));
  if (info.come_back)
    SetRetryAfter(response, note.retry_after, note.fine_retry_after);
}

// The body says no more than the headers do, in a type of its own, so that a
// refusal is never read as data: a dashboard that ignores the status would
// otherwise show it as a level.
void WriteRefusal(Poco::Net::HTTPServerResponse& response,
                  const answer_note& note) {
  SetRefusalHead(response, note);
  WriteBody(response, kProblemType, RefusalBody(note));
}

std::string RenderRefusal(const answer_note& note) {
  Poco::Net::HTTPResponse response;
  response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
  response.setDate(Poco::Timestamp());
  response.setKeepAlive(false);
  SetRefusalHead(response, note);
  const auto body = RefusalBody(note);
  response.setContentType(std::string(kProblemType));
  response.setContentLength(static_cast<std::streamsize>(body.size()));
  std::ostringstream text;
  response.write(text);
  return text.str() + body;
}

void WriteBody(Poco::Net::HTTPServerResponse& response,
               std::string_view content_type,
               const std::string& body) {
  response.setContentType(std::string(content_type));
  response.sendBuffer(body.data(), body.size());
}

}  // namespace samphire
