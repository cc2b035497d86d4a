#include "worker.h"

#include <utility>

namespace review {

namespace {

constexpr int kIdleMs = 10'000;
constexpr int kSlots = 4;

std::string MakeResponse(const std::string& status,
                         const header_list& headers,
                         const std::string& body) {
  std::string text = "HTTP/1.1 " + status + "\r\n";
  for (const auto& [name, value] : headers) {
    text += name;
    text += ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

}  // namespace

worker::worker(std::string id,
               std::string service,
               record& log,
               std::function<header_list(const http_message&)> extra_headers)
    : id_(std::move(id)),
      service_(std::move(service)),
      log_(log),
      extra_headers_(std::move(extra_headers)),
      listener_([this](http_link link) { Serve(std::move(link)); }) {}

std::string worker::StoreContent(const std::string& zone) const {
  return R"("spec":{"address":")" + listener_.address() +
         R"(","info":{"service":")" + service_ + R"(","version":"1","zone":")" +
         zone + R"(","slots":)" + std::to_string(kSlots) +
         R"(},"status":{"state":"ready","seq":1,"coldLeft":"0ms"}})";
}

std::vector<worker_run> worker::runs() {
  std::lock_guard guard(lock_);
  return runs_;
}

std::string worker::AnswerBody(const std::string& id,
                               const std::string& request_body) {
  return "done " + id + " with " + std::to_string(request_body.size()) +
         " bytes\n";
}

void worker::Serve(http_link link) {
  while (const auto request = link.Read(kIdleMs)) {
    const auto id = HeaderOf(request->headers, "Request-Id");
    if (!request->well_formed || id.empty()) {
      log_.Write("worker " + id_ + " refuses, malformed or without an id: " +
                 Printable(request->start_line));
      link.Send(MakeResponse("400 Bad Request",
                             {{"Not-Executed", "1"}, {"Connection", "close"}},
                             ""));
      return;
    }
    if (!link.Send(Run(*request)))
      return;
  }
}

std::string worker::Run(const http_message& request) {
  const auto id = HeaderOf(request.headers, "Request-Id");
  const auto expected = HeaderOf(request.headers, "Target-Instance");
  if (!expected.empty() && expected != id_)
    return MakeResponse("421 Misdirected Request",
                        {{"Request-Id", id}, {"Not-Executed", "1"}}, "");
  {
    std::lock_guard guard(lock_);
    runs_.push_back(
        {id_, id, request.start_line, request.headers, request.body});
  }
  log_.Write("worker " + id_ + " runs " + id + ": " +
             Printable(request.start_line) + ", body \"" +
             Printable(request.body) + "\"");
  header_list headers{{"Request-Id", id},
                      {"Server-Stamp", "stamp." + id_ + "." + id},
                      {"Server-Load", "1,0," + std::to_string(kSlots)}};
  if (extra_headers_) {
    const auto extra = extra_headers_(request);
    headers.insert(headers.end(), extra.begin(), extra.end());
  }
  return MakeResponse("200 OK", headers, AnswerBody(id, request.body));
}

}  // namespace review
