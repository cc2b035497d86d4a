#include "front/front_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/Timestamp.h>

#include <atomic>
#include <memory>
#include <utility>
#include <vector>

#include "base/log.h"
#include "front/answer_writer.h"
#include "front/front_request.h"
#include "front/head_wait.h"
#include "front/turn_away.h"

namespace samphire {

namespace {

class active_mark {
 public:
  explicit active_mark(std::atomic<int>& count) : count_(count) { ++count_; }
  ~active_mark() { --count_; }
  active_mark(const active_mark&) = delete;
  active_mark& operator=(const active_mark&) = delete;

 private:
  std::atomic<int>& count_;
};

}  // namespace

front_connection::front_connection(
    const Poco::Net::StreamSocket& socket,
    Poco::Net::HTTPServerParams::Ptr params,
    Poco::Net::HTTPRequestHandlerFactory::Ptr factory,
    front_control& control,
    samphire::metrics& counters)
    : TCPServerConnection(socket),
      params_(std::move(params)),
      factory_(std::move(factory)),
      control_(control),
      metrics_(counters) {}

// POCO's own connection answers what it can't parse with a bare 400 and knows
// no limit for a whole head; this loop is the same but for numbered answers
// and the wait for a whole head.
void front_connection::run() {
  socket().setNoDelay(true);
  front_session session(socket(), params_);
  try {
    while (ServeOne(session)) {
    }
  } catch (const Poco::Exception& e) {
    // Mostly a caller that went away; what else it was, the detail tells.
    metrics_.Count("connections_lost_total");
    Log(log_level::kInfo, "connection-lost", {{"detail", e.displayText()}});
  }
}

bool front_connection::ServeOne(front_session& session) {
  if (!session.HasBuffered()) {
    const auto waited = AwaitHead(session.socket(), control_);
    if (waited == result_code::kCallerGone)
      return false;
    if (waited != result_code::kOk) {
      Refuse(session, waited);
      return false;
    }
  }
  try {
    const auto end = Handle(session);
    // Only now that the answer has left its buffers.
    if (end == request_end::kUnread)
      DrainAndShutDown(session.socket());
    return end == request_end::kKeep;
  } catch (const Poco::Net::NoMessageException&) {
    return false;
  } catch (const Poco::Net::MessageException&) {
    Refuse(session, result_code::kMalformedRequest);
    return false;
  } catch (const Poco::SyntaxException&) {
    Refuse(session, result_code::kMalformedRequest);
    return false;
  }
}

// A request counts as active before the phase is looked at, and the phase is
// set before the count is: so one of the two sees the other, and no request
// runs on after its port has counted none.
front_connection::request_end front_connection::Handle(front_session& session) {
  const active_mark mark(control_.active);
  if (control_.phase == front_phase::kTurningAway) {
    Refuse(session, result_code::kEntryLeaving);
    return request_end::kClose;
  }
  Poco::Net::HTTPServerResponseImpl response(session);
  front_request request(response, session, params_.get());
  response.setDate(Poco::Timestamp());
  response.setVersion(request.getVersion());
  response.setKeepAlive(request.getKeepAlive() &&
                        control_.phase == front_phase::kOpen);
  std::unique_ptr<Poco::Net::HTTPRequestHandler> handler(
      factory_->createRequestHandler(request));
  handler->handleRequest(request, response);
  if (!request.IsConsumed())
    return request_end::kUnread;
  return response.sent() && response.getKeepAlive() ? request_end::kKeep
                                                    : request_end::kClose;
}

void front_connection::Refuse(front_session& session, result_code code) {
  metrics_.CountRefusal(code);
  const auto answer = RenderRefusal(answer_note{.code = code});
  session.socket().sendBytes(answer.data(), static_cast<int>(answer.size()));
  DrainAndShutDown(session.socket());
}

}  // namespace samphire
