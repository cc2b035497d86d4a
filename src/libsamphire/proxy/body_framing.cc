#include "proxy/body_framing.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/NumberParser.h>

namespace samphire {

namespace {

// Lower statuses are informational and have no body.
constexpr int kFirstFinalStatus = 200;

bool HasNoBody(const Poco::Net::HTTPResponse& head) {
  const int status = head.getStatus();
  return status < kFirstFinalStatus ||
         status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT ||
         status == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
}

}  // namespace

result<body_framing> ParseResponseFraming(const Poco::Net::HTTPResponse& head,
                                          bool is_response_to_head) {
  if (is_response_to_head || HasNoBody(head))
    return body_framing(no_body{});
  if (head.getChunkedTransferEncoding()) {
    // Both headers at once are a sign of response smuggling: part of the body
    // could be taken for the response to another request.
    if (head.has(Poco::Net::HTTPMessage::CONTENT_LENGTH))
      return MakeError(result_code::kTargetFailed,
                       "response has both Content-Length and chunked coding");
    return body_framing(chunked_body{});
  }
  Poco::UInt64 length = 0;
  if (!head.has(Poco::Net::HTTPMessage::CONTENT_LENGTH))
    return body_framing(until_close_body{});
  if (!Poco::NumberParser::tryParseUnsigned64(
          head.get(Poco::Net::HTTPMessage::CONTENT_LENGTH), length)) {
    return MakeError(result_code::kTargetFailed,
                     "invalid Content-Length in response");
  }
  return body_framing(fixed_length_body{length});
}

}  // namespace samphire
