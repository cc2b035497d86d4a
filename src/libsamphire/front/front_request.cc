#include "front/front_request.h"

#include <Poco/Exception.h>

#include <array>
#include <variant>

#include "front/request_check.h"
#include "proxy/message_head.h"

namespace samphire {

namespace {

// Bytes read at a time when a whole body is collected.
constexpr std::size_t kReadBufferBytes = 4096;

struct has_bytes {
  bool operator()(const no_body&) const { return false; }
  bool operator()(const fixed_length_body& body) const {
    return body.length > 0;
  }
  bool operator()(const chunked_body&) const { return true; }
  bool operator()(const until_close_body&) const { return true; }
};

}  // namespace

front_request::front_request(front_response& response,
                             front_session& session,
                             const Poco::Net::HTTPServerParams& params,
                             const head_text& head,
                             time_point arrived)
    : response_(response),
      session_(session),
      params_(params),
      arrived_(arrived),
      client_address_(session.clientAddress()),
      server_address_(session.serverAddress()) {
  SetFromHead(head, *this);
}

result<void> front_request::Check() {
  BOOST_OUTCOME_TRY(framing, CheckRequest(*this));
  framing_ = framing;
  return Success();
}

request_body& front_request::OpenBody(std::uint64_t limit,
                                      time_point deadline) {
  return body_.emplace(session_, framing_, limit, deadline);
}

result<std::string> front_request::ReadBody(std::uint64_t limit,
                                            time_point deadline) {
  auto& source = OpenBody(limit, deadline);
  std::string body;
  std::array<char, kReadBufferBytes> buffer;
  while (!source.ended()) {
    BOOST_OUTCOME_TRY(bytes_read, source.Read(buffer));
    body.append(buffer.data(), bytes_read);
  }
  return body;
}

// Unread body bytes would be parsed as the start of the next request. Where the
// body was never opened, the headers must declare that there is none.
bool front_request::IsFullyRead() const {
  return body_ ? body_->ended_without_excess()
               : !std::visit(has_bytes{}, framing_);
}

std::istream& front_request::stream() {
  throw Poco::NotImplementedException("bodies are read with OpenBody()");
}

const Poco::Net::SocketAddress& front_request::clientAddress() const {
  return client_address_;
}

const Poco::Net::SocketAddress& front_request::serverAddress() const {
  return server_address_;
}

const Poco::Net::HTTPServerParams& front_request::serverParams() const {
  return params_;
}

Poco::Net::HTTPServerResponse& front_request::response() const {
  return response_;
}

}  // namespace samphire
