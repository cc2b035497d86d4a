#include "front/front_request.h"

#include <Poco/NumberParser.h>

#include <algorithm>
#include <array>

namespace samphire {

namespace {

// Bytes read at a time when a whole body is collected.
constexpr std::size_t kReadBufferBytes = 4096;

// Guards against request smuggling. With both Content-Length and
// Transfer-Encoding, or an unknown coding, one request could be hidden at the
// end of another, and its sender could receive another caller's response.
result<body_framing> ParseRequestFraming(
    const Poco::Net::HTTPRequest& request) {
  const bool has_coding =
      request.has(Poco::Net::HTTPMessage::TRANSFER_ENCODING);
  const bool has_length = request.has(Poco::Net::HTTPMessage::CONTENT_LENGTH);
  if (has_coding && (has_length || !request.getChunkedTransferEncoding()))
    return MakeError(result_code::kMalformedRequest,
                     "conflicting body length headers or unsupported coding");
  if (has_coding)
    return body_framing(chunked_body{});
  if (!has_length)
    return body_framing(no_body{});
  const auto values =
      std::count_if(request.begin(), request.end(), [](const auto& header) {
        return Poco::icompare(header.first,
                              Poco::Net::HTTPMessage::CONTENT_LENGTH) == 0;
      });
  Poco::UInt64 length = 0;
  if (values != 1 ||
      !Poco::NumberParser::tryParseUnsigned64(
          request.get(Poco::Net::HTTPMessage::CONTENT_LENGTH), length))
    return MakeError(result_code::kMalformedRequest,
                     "invalid or repeated Content-Length");
  return body_framing(fixed_length_body{length});
}

}  // namespace

front_request::front_request(Poco::Net::HTTPServerResponseImpl& response,
                             front_session& session,
                             Poco::Net::HTTPServerParams* params,
                             time_point arrived)
    : HTTPServerRequestImpl(response, session, params),
      session_(session),
      arrived_(arrived) {}

result<request_body*> front_request::OpenBody(std::uint64_t limit,
                                              time_point deadline) {
  BOOST_OUTCOME_TRY(framing, ParseRequestFraming(*this));
  body_.emplace(session_, framing, limit, deadline);
  return &*body_;
}

result<std::string> front_request::ReadBody(std::uint64_t limit,
                                            time_point deadline) {
  BOOST_OUTCOME_TRY(source, OpenBody(limit, deadline));
  std::string body;
  std::array<char, kReadBufferBytes> buffer;
  while (!source->ended()) {
    BOOST_OUTCOME_TRY(bytes_read, source->Read(buffer));
    body.append(buffer.data(), bytes_read);
  }
  return body;
}

// Unread body bytes would be parsed as the start of the next request. Where the
// body was never opened, the headers must declare that there is none.
bool front_request::IsFullyRead() const {
  if (body_)
    return body_->ended_without_excess();
  return !has(Poco::Net::HTTPMessage::TRANSFER_ENCODING) &&
         get(Poco::Net::HTTPMessage::CONTENT_LENGTH, "0") == "0";
}

}  // namespace samphire
