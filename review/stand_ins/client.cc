#include "client.h"

#include <fmt/format.h>

#include <algorithm>

#include "worker.h"

namespace review {

namespace {

constexpr std::size_t kChunkBytes = std::size_t{16} << 10U;
constexpr const char* kHost = "bales.example";

std::string Encoded(const std::string& body, body_encoding encoding) {
  if (encoding == body_encoding::kLength)
    return body;
  std::string chunks;
  for (std::size_t at = 0; at < body.size(); at += kChunkBytes) {
    const auto size = std::min(kChunkBytes, body.size() - at);
    chunks += fmt::format("{:x}\r\n", size) + body.substr(at, size) + "\r\n";
  }
  return chunks + "0\r\n\r\n";
}

std::string HeadOf(const client_request& request) {
  auto head = fmt::format(
      "{} {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {}\r\nAffinity-Key: {}\r\n"
      "Request-Deadline: {}\r\n",
      request.method, request.path, kHost, request.id, request.affinity_key,
      request.time_limit.count());
  if (request.encoding == body_encoding::kChunked)
    head += "Transfer-Encoding: chunked\r\n";
  else if (request.method != "GET")
    head += fmt::format("Content-Length: {}\r\n", request.body.size());
  return head + "\r\n";
}

}  // namespace

client_answer SendOn(http_connection& connection,
                     const client_request& request,
                     record& events) {
  const auto started = std::chrono::steady_clock::now();
  events.Write(
      fmt::format("sent      {}: \"{} {}\", body of {} bytes, digest "
                  "{:016x}",
                  request.id, request.method, request.path, request.body.size(),
                  DigestOf(request.body)));
  connection.Send(HeadOf(request) + Encoded(request.body, request.encoding));
  const auto received = connection.Receive(request.time_limit);
  client_answer answer;
  answer.took = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - started);
  if (received && received->complete) {
    answer.status = received->status();
    answer.body = received->body;
    const auto stamp = received->Get("server-stamp");
    answer.worker = stamp.substr(0, stamp.find('.'));
  } else {
    answer.closed = connection.IsClosedByPeer();
  }
  events.Write(fmt::format(
      "answered  {} after {} ms: {}", request.id, answer.took.count(),
      answer.status != 0 ? fmt::format("{} {}, body of {} bytes", answer.status,
                                       answer.worker, answer.body.size())
      : answer.closed    ? "the connection was closed without an answer"
                         : "nothing within the time limit"));
  return answer;
}

client_answer SendTo(const std::string& front,
                     const client_request& request,
                     record& events) {
  http_connection connection(http_connection::Open(front));
  if (!connection.is_open()) {
    events.Write(fmt::format("refused   {}: no connection", request.id));
    return {.closed = true, .sent = false};
  }
  return SendOn(connection, request, events);
}

}  // namespace review
