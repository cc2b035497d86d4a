#include "front/front_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Timestamp.h>

#include <atomic>
#include <memory>
#include <utility>
#include <vector>

#include "base/log.h"
#include "front/front_request.h"
#include "front/front_response.h"
#include "front/refuse_connection.h"
#include "front/request_head_receiver.h"
#include "proxy/message_head.h"

namespace samphire {

namespace {

// Counts a request as active for as long as the guard exists.
class active_request_guard {
 public:
  explicit active_request_guard(std::atomic<int>& count) : count_(count) {
    ++count_;
  }
  ~active_request_guard() { --count_; }
  active_request_guard(const active_request_guard&) = delete;
  active_request_guard& operator=(const active_request_guard&) = delete;

 private:
  std::atomic<int>& count_;
};

}  // namespace

front_connection::front_connection(
    const Poco::Net::StreamSocket& socket,
    Poco::Net::HTTPServerParams::Ptr params,
    Poco::Net::HTTPRequestHandlerFactory::Ptr factory,
    front_shared_state& shared_state,
    samphire::metrics& counters)
    : TCPServerConnection(socket),
      params_(std::move(params)),
      factory_(std::move(factory)),
      shared_state_(shared_state),
      metrics_(counters),
      accepted_(shared_state.accepted.Take(socket)) {}

// POCO's own connection class responds to bytes that it can't parse with a bare
// 400, has no time limit for a complete head and changes headers as it reads
// them. This loop reads each head itself, and its refusals carry result codes.
void front_connection::run() {
  socket().setNoDelay(true);
  front_session session(socket(), params_, shared_state_.cutting);
  try {
    while (ServeOne(session)) {
    }
  } catch (const Poco::Exception& e) {
    // Usually the caller disconnected; the logged detail shows other causes.
    metrics_.Count("connections_lost_total");
    Log(log_level::kInfo, "connection-lost", {{"detail", e.displayText()}});
  }
}

// On a busy processor, a connection waits for its thread for up to seconds,
// with the request of its caller, who had no reason to wait before sending it.
bool front_connection::HasWaitedWithRequest(
    const Poco::Net::StreamSocket& socket) {
  if (!std::exchange(is_new_, false) ||
      !socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
    return false;
  metrics_.Observe("request_wait_for_thread_seconds", "",
                   std::chrono::steady_clock::now() - accepted_);
  return true;
}

bool front_connection::ServeOne(front_session& session) {
  const bool has_waited = HasWaitedWithRequest(session.socket());
  const auto head = ReceiveRequestHead(session, shared_state_);
  if (!head) {
    if (head.error().code != result_code::kCallerGone)
      Refuse(session, head.error());
    return false;
  }
  arrived_ = has_waited ? accepted_ : std::chrono::steady_clock::now();
  const auto outcome = Handle(session, head.value());
  // Handle() has returned, so the response has been flushed to the socket.
  if (outcome == connection_disposition::kClose)
    shared_state_.closer.Add(session.detachSocket());
  return outcome == connection_disposition::kKeepOpen;
}

// A request is counted as active before the phase is read here, while the
// thread that drains the port sets the phase before it reads the count. So at
// least one side sees the other's write, and no request still runs once the
// port has reported zero active requests.
front_connection::connection_disposition front_connection::Handle(
    front_session& session,
    const head_text& head) {
  const active_request_guard guard(shared_state_.active_requests);
  if (shared_state_.refusing.is_cancelled()) {
    Refuse(session, MakeError(result_code::kEntryLeaving));
    return connection_disposition::kCloseNow;
  }
  front_response response(session, shared_state_, metrics_);
  front_request request(response, session, *params_, head, arrived_);
  if (const auto checked = request.Check(); !checked) {
    Refuse(session, checked.error());
    return connection_disposition::kCloseNow;
  }
  response.setDate(Poco::Timestamp());
  response.setVersion(request.getVersion());
  response.setKeepAlive(KeepsConnection(request));
  if (request.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD)
    response.SetBodiless();
  std::unique_ptr<Poco::Net::HTTPRequestHandler> handler(
      factory_->createRequestHandler(request));
  handler->handleRequest(request, response);
  if (!response.sent())
    return connection_disposition::kCloseNow;
  return request.IsFullyRead() && response.getKeepAlive()
             ? connection_disposition::kKeepOpen
             : connection_disposition::kClose;
}

void front_connection::Refuse(front_session& session, const error& reason) {
  metrics_.CountRefusal(reason.code);
  if (reason.code == result_code::kEntryLeaving)
    ++shared_state_.refused_while_leaving;
  RefuseConnection(session.detachSocket(), reason, kLeavingRetryAfter,
                   shared_state_.closer);
}

}  // namespace samphire
