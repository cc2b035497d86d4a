#include "proxy/body_framing.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/NumberParser.h>

namespace samphire {

namespace {

constexpr int kFirstFinalStatus = 200;

bool HasNoBody(const Poco::Net::HTTPResponse& head) {
  const int status = head.getStatus();
  return status < kFirstFinalStatus ||
         status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT ||
         status == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
}

}  // namespace

result<body_framing> FramingOf(const Poco::Net::HTTPResponse& head,
                               bool answers_head_request) {
  if (answers_head_request || HasNoBody(head))
    return body_framing(no_body{});
  if (head.getChunkedTransferEncoding()) {
    // Both at once is how one answer is smuggled into another's place.
    if (head.has(Poco::Net::HTTPMessage::CONTENT_LENGTH))
      return MakeError(result_code::kTargetFailed, "length and chunks at once");
    return body_framing(chunked_body{});
  }
  Poco::UInt64 length = 0;
  if (!head.has(Poco::Net::HTTPMessage::CONTENT_LENGTH))
    return body_framing(until_close_body{});
  if (!Poco::NumberParser::tryParseUnsigned64(
          head.get(Poco::Net::HTTPMessage::CONTENT_LENGTH), length)) {
    return MakeError(result_code::kTargetFailed, "nonsense Content-Length");
  }
  return body_framing(fixed_length_body{length});
}

}  // namespace samphire
