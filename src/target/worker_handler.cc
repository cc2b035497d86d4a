#include "worker_handler.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "history/echo_body.h"

namespace samphire {

namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

// Size of one write of the response body.
constexpr std::size_t kChunkBytes = 64 << 10;
// Retry-After of a refused request.
constexpr int kRetryAfterSeconds = 1;

Poco::Net::StreamSocket& SocketOf(HTTPServerRequest& request) {
  return static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
}

// Returns whether the caller has closed the connection. A caller that waits for
// its response sends nothing, so a readable socket without a byte to read means
// that it was closed.
bool CallerDisconnected(Poco::Net::StreamSocket& socket) {
  try {
    if (!socket.poll(0, Poco::Net::Socket::SELECT_READ))
      return false;
    char byte = 0;
    return socket.receiveBytes(&byte, 1, MSG_PEEK) <= 0;
  } catch (const Poco::Exception&) {
    return true;
  }
}

// Closes the connection without a complete response.
void CloseConnection(HTTPServerRequest& request, HTTPServerResponse& response) {
  response.setKeepAlive(false);
  try {
    SocketOf(request).shutdown();
  } catch (const Poco::Exception&) {
    // The caller has already closed the connection.
  }
}

void SendJson(HTTPServerResponse& response,
              HTTPResponse::HTTPStatus status,
              const std::string& body) {
  response.setStatusAndReason(status);
  response.setContentType("application/json");
  response.sendBuffer(body.data(), body.size());
}

// Writes up to `limit` bytes of the body. Calls `before_last_write` before the
// last bytes are sent, where the end of the run is recorded, because the caller
// may send its next request as soon as it has received them.
template <typename F>
void WriteBody(std::ostream& out,
               const std::string& head,
               const request_directives& directives,
               std::uint64_t limit,
               F&& before_last_write) {
  const auto total =
      std::min<std::uint64_t>(head.size() + directives.bytes, limit);
  std::uint64_t written = 0;
  while (written < total && out.good()) {
    std::string chunk;
    if (written < head.size()) {
      chunk = head.substr(written);
    } else {
      chunk = EchoFiller(
          directives.id, written - head.size(),
          std::min<std::uint64_t>(kChunkBytes,
                                  head.size() + directives.bytes - written));
    }
    chunk.resize(std::min<std::uint64_t>(chunk.size(), total - written));
    written += chunk.size();
    if (written == total)
      before_last_write();
    out.write(chunk.data(), static_cast<std::streamsize>(chunk.size()));
  }
  out.flush();
}

}  // namespace

worker_handler::worker_handler(worker& worker, std::function<void()> crash)
    : worker_(worker), crash_(std::move(crash)) {}

void worker_handler::handleRequest(HTTPServerRequest& request,
                                   HTTPServerResponse& response) {
  // A crashed process runs nothing, not even a request on a connection that has
  // not been closed yet: such a request would appear to have crashed the target
  // itself.
  if (worker_.down()) {
    CloseConnection(request, response);
    return;
  }
  try {
    if (!HandleAdmin(request, response))
      HandleWork(request, response);
  } catch (const Poco::Exception&) {
    CloseConnection(request, response);
  }
}

bool worker_handler::HandleAdmin(HTTPServerRequest& request,
                                 HTTPServerResponse& response) {
  const auto& path = request.getURI();
  if (path == "/load") {
    SendJson(response, HTTPResponse::HTTP_OK, worker_.LoadReport());
  } else if (path == "/healthz") {
    SendJson(response, HTTPResponse::HTTP_OK, "{}");
  } else if (path == "/admin/drain" || path == "/admin/undrain") {
    worker_.SetDraining(path == "/admin/drain");
    SendJson(response, HTTPResponse::HTTP_OK, "{}");
  } else {
    return false;
  }
  return true;
}

void worker_handler::HandleWork(HTTPServerRequest& request,
                                HTTPServerResponse& response) {
  const auto directives = ReadRequestDirectives(request);
  Poco::NullOutputStream discarded;
  Poco::StreamCopier::copyStream(request.stream(), discarded);
  const auto run = worker_.Start(directives);
  response.set("Target-Name", worker_.identity().full_name());
  if (!directives.id.empty())
    response.set("Request-Id", directives.id);
  if (run.refusal != worker::start_refusal::kNone) {
    response.set("Target-Shed", "1");
    response.set("Retry-After", std::to_string(kRetryAfterSeconds));
    SendJson(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
             run.refusal == worker::start_refusal::kSlotsBusy
                 ? R"({"refused":"full"})"
                 : R"({"refused":"leaving"})");
    return;
  }
  if (directives.crash) {
    worker_.EndRun(run, run_outcome::kAborted, 0);
    crash_();
    CloseConnection(request, response);
    return;
  }
  response.set("Target-Run", std::to_string(run.number));
  auto& socket = SocketOf(request);
  if (!worker_.WaitForCompletion(run, directives,
                                 [&] { return CallerDisconnected(socket); })) {
    worker_.EndRun(
        run,
        worker_.Crashed(run) ? run_outcome::kAborted : run_outcome::kCancelled,
        0);
    if (worker_.Crashed(run) || CallerDisconnected(socket)) {
      CloseConnection(request, response);
    } else {
      SendJson(response, HTTPResponse::HTTP_GATEWAY_TIMEOUT,
               R"({"refused":"deadline"})");
    }
    return;
  }
  const auto measured_us = HistoryNow();
  const auto outcome =
      SendResponse(directives, run, measured_us, request, response);
  if (outcome != run_outcome::kFinished)
    worker_.EndRun(run, outcome, measured_us);
}

run_outcome worker_handler::SendResponse(const request_directives& directives,
                                         const worker::run& run,
                                         history_time measured_us,
                                         HTTPServerRequest& request,
                                         HTTPServerResponse& response) {
  const auto head =
      EncodeEchoHeader({.request_id = directives.id,
                        .target = worker_.identity().full_name(),
                        .run = run.number,
                        .measured_us = measured_us,
                        .bytes = static_cast<std::int64_t>(directives.bytes)});
  response.setContentType("application/octet-stream");
  response.setDate(Poco::Timestamp());
  response.set("Age", "0");
  if (directives.chunked)
    response.setChunkedTransferEncoding(true);
  else
    response.setContentLength64(
        static_cast<Poco::Int64>(head.size() + directives.bytes));
  auto& out = response.send();
  if (directives.truncate &&
      *directives.truncate < head.size() + directives.bytes) {
    WriteBody(out, head, directives, *directives.truncate, [] {});
    CloseConnection(request, response);
    return run_outcome::kAborted;
  }
  bool ended = false;
  WriteBody(out, head, directives, UINT64_MAX, [&] {
    worker_.EndRun(run, run_outcome::kFinished, measured_us);
    ended = true;
  });
  if (!ended)
    return run_outcome::kCancelled;
  return run_outcome::kFinished;
}

}  // namespace samphire
