#include "front/front_request.h"

#include <Poco/NumberParser.h>

#include <algorithm>
#include <array>

namespace samphire {

namespace {

constexpr std::size_t kPieceBytes = 4096;

// Both lengths at once, or a coding that is not understood, is how one request
// is smuggled in as the tail of another, and how its sender gets the other
// caller's answer.
result<body_framing> RequestFraming(const Poco::Net::HTTPRequest& request) {
  const bool has_coding =
      request.has(Poco::Net::HTTPMessage::TRANSFER_ENCODING);
  const bool has_length = request.has(Poco::Net::HTTPMessage::CONTENT_LENGTH);
  if (has_coding && (has_length || !request.getChunkedTransferEncoding()))
    return MakeError(result_code::kMalformedRequest, "unclear body length");
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
    return MakeError(result_code::kMalformedRequest, "nonsense length");
  return body_framing(fixed_length_body{length});
}

}  // namespace

front_request::front_request(Poco::Net::HTTPServerResponseImpl& response,
                             front_session& session,
                             Poco::Net::HTTPServerParams* params)
    : HTTPServerRequestImpl(response, session, params), session_(session) {}

result<request_body*> front_request::OpenBody(std::uint64_t limit,
                                              time_point deadline) {
  BOOST_OUTCOME_TRY(framing, RequestFraming(*this));
  body_.emplace(session_, framing, limit, deadline);
  return &*body_;
}

result<std::string> front_request::ReadBody(std::uint64_t limit,
                                            time_point deadline) {
  BOOST_OUTCOME_TRY(source, OpenBody(limit, deadline));
  std::string body;
  std::array<char, kPieceBytes> piece;
  while (!source->ended()) {
    BOOST_OUTCOME_TRY(got, source->Read(piece));
    body.append(piece.data(), got);
  }
  return body;
}

// Unread body bytes would be parsed as the start of the next request.
bool front_request::IsConsumed() const {
  if (body_)
    return body_->ended_cleanly();
  return !has(Poco::Net::HTTPMessage::TRANSFER_ENCODING) &&
         get(Poco::Net::HTTPMessage::CONTENT_LENGTH, "0") == "0";
}

}  // namespace samphire
