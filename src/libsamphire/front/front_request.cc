#include "front/front_request.h"

#include <Poco/NumberParser.h>

#include <algorithm>
#include <array>
#include <istream>

#include "front/session_input_buf.h"
#include "proxy/body_reader.h"

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

// Requests are held whole, unlike answers: only a whole one may be dispatched,
// and one that is tried again has to be sent again.
result<std::string> front_request::ReadBody(std::uint64_t limit,
                                            time_point deadline) {
  BOOST_OUTCOME_TRY(framing, RequestFraming(*this));
  const auto* fixed = std::get_if<fixed_length_body>(&framing);
  if (fixed != nullptr && fixed->length > limit)
    return MakeError(result_code::kBodyTooLarge);
  const bool bodyless = std::holds_alternative<no_body>(framing) ||
                        (fixed != nullptr && fixed->length == 0);
  std::string body;
  if (bodyless) {
    body_read_ = true;
    return body;
  }
  session_input_buf buffer(session_, deadline);
  std::istream input(&buffer);
  body_reader reader(input, framing);
  std::array<char, kPieceBytes> piece;
  while (true) {
    const auto got = reader.Read(piece);
    if (!got) {
      return MakeError(buffer.late() ? result_code::kRequestTooSlow
                                     : result_code::kMalformedRequest,
                       "the body is not whole");
    }
    if (got.value() == 0)
      break;
    body.append(piece.data(), got.value());
    if (body.size() > limit)
      return MakeError(result_code::kBodyTooLarge);
  }
  // Bytes that were read beyond the body are a next request, which would be
  // lost: such a connection ends here.
  body_read_ = buffer.in_avail() <= 0;
  return body;
}

}  // namespace samphire
