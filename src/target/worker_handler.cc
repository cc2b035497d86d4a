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

constexpr std::size_t kChunkBytes = 64 << 10;
constexpr int kRetryAfterSeconds = 1;

Poco::Net::StreamSocket& SocketOf(HTTPServerRequest& request) {
  return static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
}

// A caller that waits for its answer sends nothing, so a readable socket
// without a byte to read means that it closed.
bool CallerGone(Poco::Net::StreamSocket& socket) {
  try {
    if (!socket.poll(0, Poco::Net::Socket::SELECT_READ))
      return false;
    char byte = 0;
    return socket.receiveBytes(&byte, 1, MSG_PEEK) <= 0;
  } catch (const Poco::Exception&) {
    return true;
  }
}

void Break(HTTPServerRequest& request, HTTPServerResponse& response) {
  response.setKeepAlive(false);
  try {
    SocketOf(request).shutdown();
  } catch (const Poco::Exception&) {
    // The caller was faster; the connection is broken either way.
  }
}

void SendJson(HTTPServerResponse& response,
              HTTPResponse::HTTPStatus status,
              const std::string& body) {
  response.setStatusAndReason(status);
  response.setContentType("application/json");
  response.sendBuffer(body.data(), body.size());
}

// Writes the body up to `limit` bytes. The run's end is recorded by `finished`
// before the last bytes leave, since the caller may send its next request the
// moment it has them.
template <typename F>
void WriteBody(std::ostream& out,
               const std::string& head,
               const request_order& order,
               std::uint64_t limit,
               F&& finished) {
  const auto total = std::min<std::uint64_t>(head.size() + order.bytes, limit);
  std::uint64_t written = 0;
  while (written < total && out.good()) {
    std::string chunk;
    if (written < head.size()) {
      chunk = head.substr(written);
    } else {
      chunk = EchoFiller(order.id, written - head.size(),
                         std::min<std::uint64_t>(
                             kChunkBytes, head.size() + order.bytes - written));
    }
    chunk.resize(std::min<std::uint64_t>(chunk.size(), total - written));
    written += chunk.size();
    if (written == total)
      finished();
    out.write(chunk.data(), static_cast<std::streamsize>(chunk.size()));
  }
  out.flush();
}

}  // namespace

worker_handler::worker_handler(worker& worker, std::function<void()> crash)
    : worker_(worker), crash_(std::move(crash)) {}

void worker_handler::handleRequest(HTTPServerRequest& request,
                                   HTTPServerResponse& response) {
  // A dead process runs nothing, not even on a connection that is not yet torn
  // down: such a request would look as if it had crashed the worker itself.
  if (worker_.down()) {
    Break(request, response);
    return;
  }
  try {
    if (!HandleAdmin(request, response))
      HandleWork(request, response);
  } catch (const Poco::Exception&) {
    Break(request, response);
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
    worker_.SetLeaving(path == "/admin/drain");
    SendJson(response, HTTPResponse::HTTP_OK, "{}");
  } else {
    return false;
  }
  return true;
}

void worker_handler::HandleWork(HTTPServerRequest& request,
                                HTTPServerResponse& response) {
  const auto order = ReadRequestOrder(request);
  Poco::NullOutputStream nowhere;
  Poco::StreamCopier::copyStream(request.stream(), nowhere);
  const auto run = worker_.Start(order);
  response.set("Target-Name", worker_.identity().full_name());
  if (!order.id.empty())
    response.set("Request-Id", order.id);
  if (run.refusal != worker::start_refusal::kNone) {
    response.set("Target-Shed", "1");
    response.set("Retry-After", std::to_string(kRetryAfterSeconds));
    SendJson(response, HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
             run.refusal == worker::start_refusal::kFull
                 ? R"({"refused":"full"})"
                 : R"({"refused":"leaving"})");
    return;
  }
  if (order.crash) {
    worker_.End(run, run_outcome::kAborted, 0);
    crash_();
    Break(request, response);
    return;
  }
  response.set("Target-Run", std::to_string(run.number));
  auto& socket = SocketOf(request);
  if (!worker_.Work(run, order, [&] { return CallerGone(socket); })) {
    worker_.End(
        run,
        worker_.Crashed(run) ? run_outcome::kAborted : run_outcome::kCancelled,
        0);
    if (worker_.Crashed(run) || CallerGone(socket)) {
      Break(request, response);
    } else {
      SendJson(response, HTTPResponse::HTTP_GATEWAY_TIMEOUT,
               R"({"refused":"deadline"})");
    }
    return;
  }
  const auto measured_us = HistoryNow();
  const auto outcome = SendAnswer(order, run, measured_us, request, response);
  if (outcome != run_outcome::kFinished)
    worker_.End(run, outcome, measured_us);
}

run_outcome worker_handler::SendAnswer(const request_order& order,
                                       const worker::run& run,
                                       history_time measured_us,
                                       HTTPServerRequest& request,
                                       HTTPServerResponse& response) {
  const auto head =
      EncodeEchoHeader({.request_id = order.id,
                        .target = worker_.identity().full_name(),
                        .run = run.number,
                        .measured_us = measured_us,
                        .bytes = static_cast<std::int64_t>(order.bytes)});
  response.setContentType("application/octet-stream");
  response.setDate(Poco::Timestamp());
  response.set("Age", "0");
  if (order.chunked)
    response.setChunkedTransferEncoding(true);
  else
    response.setContentLength64(
        static_cast<Poco::Int64>(head.size() + order.bytes));
  auto& out = response.send();
  if (order.truncate && *order.truncate < head.size() + order.bytes) {
    WriteBody(out, head, order, *order.truncate, [] {});
    Break(request, response);
    return run_outcome::kAborted;
  }
  bool ended = false;
  WriteBody(out, head, order, UINT64_MAX, [&] {
    worker_.End(run, run_outcome::kFinished, measured_us);
    ended = true;
  });
  if (!ended)
    return run_outcome::kCancelled;
  return run_outcome::kFinished;
}

}  // namespace samphire
