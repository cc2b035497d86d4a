#include "client.h"

#include <strings.h>

#include "deployment.h"

namespace review {

namespace {

constexpr int kDeadlineMs = 2000;

// Whether a response is the last one on its connection.
bool IsLast(const header_list& headers) {
  return strcasecmp(HeaderOf(headers, "Connection").c_str(), "close") == 0;
}

std::string MakeText(const client_request& request) {
  auto text = request.method + " " + request.path +
              " HTTP/1.1\r\nHost: " + kHost + "\r\nRequest-Id: " + request.id +
              "\r\nAffinity-Key: 17\r\nRequest-Deadline: " +
              std::to_string(kDeadlineMs) + "\r\n";
  for (const auto& [name, value] : request.extra_headers) {
    text += name;
    text += ": " + value + "\r\n";
  }
  if (!request.body.empty())
    text += request.length_name + ": " + std::to_string(request.body.size()) +
            "\r\n";
  return text + "\r\n" + request.body;
}

}  // namespace

client::client(const std::string& entry, record& log)
    : entry_(entry), log_(log) {}

std::optional<http_message> client::Call(const client_request& request) {
  if (!link_)
    link_ = http_link::Open(entry_);
  sent_[request.id] = request;
  const auto text = MakeText(request);
  log_.Write("client sends " + request.id + ": " + Printable(text));
  auto response =
      link_ && link_->Send(text) ? link_->Read(2 * kDeadlineMs) : std::nullopt;
  log_.Write("client gets for " + request.id + ": " +
             (response ? Printable(response->start_line) + ", body \"" +
                             Printable(response->body) + "\""
                       : std::string("no answer")));
  if (!response || IsLast(response->headers))
    link_.reset();
  return response;
}

std::optional<http_message> client::ReadMore(int timeout_ms) {
  if (!link_)
    return std::nullopt;
  auto more = link_->Read(timeout_ms);
  if (more)
    log_.Write(
        "client gets, with no request waiting: " + Printable(more->start_line) +
        ", body \"" + Printable(more->body) + "\"");
  return more;
}

std::vector<std::string> UnaskedRuns(
    const std::vector<worker_run>& runs,
    const std::map<std::string, client_request>& sent) {
  std::vector<std::string> found;
  for (const auto& run : runs) {
    const auto asked = sent.find(run.id);
    if (asked == sent.end()) {
      found.push_back("run of an id that no client sent: " + run.id + " (" +
                      Printable(run.start_line) + ") at " + run.worker);
      continue;
    }
    const auto& request = asked->second;
    const auto line = request.method + " " + request.path + " HTTP/1.1";
    if (run.start_line != line || run.body != request.body)
      found.push_back("run with another method, path or body: " + run.id +
                      " (" + Printable(run.start_line) + ", body \"" +
                      Printable(run.body) + "\" instead of \"" +
                      Printable(request.body) + "\") at " + run.worker);
  }
  return found;
}

bool IsServed(const std::optional<http_message>& response,
              const client_request& request) {
  return response && response->start_line.starts_with("HTTP/1.1 200") &&
         !HeaderOf(response->headers, "Server-Stamp").empty() &&
         response->body == worker::AnswerBody(request.id, request.body);
}

}  // namespace review
