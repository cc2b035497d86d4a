#include "front/front_response.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPChunkedStream.h>
#include <Poco/Net/HTTPFixedLengthStream.h>
#include <Poco/Net/HTTPHeaderStream.h>
#include <Poco/Net/HTTPStream.h>
#include <Poco/NullStream.h>

#include "base/log.h"
#include "front/response_writer.h"
#include "proxy/body_framing.h"
#include "proxy/head_writer.h"

namespace samphire {

namespace {

[[noreturn]] void ThrowNotImplemented() {
  throw Poco::NotImplementedException("entries send no such response");
}

}  // namespace

front_response::front_response(front_session& session,
                               const front_shared_state& shared_state,
                               samphire::metrics& counters)
    : session_(session), shared_state_(shared_state), metrics_(counters) {}

// A request may have begun long before the stop. Its caller would send the next
// one on the same connection.
std::ostream& front_response::send() {
  if (shared_state_.phase != front_phase::kOpen)
    setKeepAlive(false);
  const bool has_end =
      !HasBody() || getChunkedTransferEncoding() || hasContentLength();
  if (!has_end)
    setKeepAlive(false);
  const auto head = WriteHead(*this);
  stream_ = head ? Open(head.value()) : RefuseUnsendable(head.error().detail);
  return *stream_;
}

void front_response::sendBuffer(const void* buffer, std::size_t length) {
  setContentLength64(static_cast<Poco::Int64>(length));
  setChunkedTransferEncoding(false);
  auto& stream = send();
  if (HasBody())
    stream.write(static_cast<const char*>(buffer),
                 static_cast<std::streamsize>(length));
  stream.flush();
}

bool front_response::HasBody() const {
  return !is_bodiless_ && !HasNoBody(*this);
}

std::unique_ptr<std::ostream> front_response::Open(const std::string& head) {
  std::unique_ptr<std::ostream> stream;
  const auto head_bytes =
      static_cast<Poco::Net::HTTPFixedLengthStreamBuf::ContentLength>(
          head.size());
  if (!HasBody()) {
    stream = std::make_unique<Poco::Net::HTTPFixedLengthOutputStream>(
        session_, head_bytes);
  } else if (getChunkedTransferEncoding()) {
    Poco::Net::HTTPHeaderOutputStream(session_) << head;
    return std::make_unique<Poco::Net::HTTPChunkedOutputStream>(session_);
  } else if (hasContentLength()) {
    stream = std::make_unique<Poco::Net::HTTPFixedLengthOutputStream>(
        session_, head_bytes + getContentLength64());
  } else {
    stream = std::make_unique<Poco::Net::HTTPOutputStream>(session_);
  }
  *stream << head;
  return stream;
}

// The target has run the request, for all that is known here, so that nothing
// is promised.
std::unique_ptr<std::ostream> front_response::RefuseUnsendable(
    const std::string& why) {
  metrics_.CountRefusal(result_code::kUnsendableHead);
  Log(log_level::kWarning, "response-head-not-sent", {{"detail", why}});
  setKeepAlive(false);
  Poco::Net::HTTPOutputStream(session_)
      << RenderRefusal(response_status{.code = result_code::kUnsendableHead,
                                       .run = run_state::kUnknown,
                                       .detail = why})
      << std::flush;
  return std::make_unique<Poco::NullOutputStream>();
}

void front_response::sendContinue() {
  ThrowNotImplemented();
}

void front_response::sendFile(const std::string& /*path*/,
                              const std::string& /*media_type*/) {
  ThrowNotImplemented();
}

void front_response::redirect(const std::string& /*uri*/,
                              HTTPStatus /*status*/) {
  ThrowNotImplemented();
}

void front_response::requireAuthentication(const std::string& /*realm*/) {
  ThrowNotImplemented();
}

}  // namespace samphire
