#include "proxy/body_framing.h"

#include <Poco/Ascii.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

#include "base/decimal_text.h"
#include "proxy/message_head.h"

namespace samphire {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPResponse;

// Lower statuses are informational and have no body.
constexpr int kFirstFinalStatus = 200;
const std::string kNoBytes = "0";

// Whether `line` begins with `known` but for one byte.
bool ResemblesStart(std::string_view line, std::string_view known) {
  if (line.size() < known.size())
    return false;
  std::size_t different = 0;
  for (std::size_t i = 0; i < known.size(); ++i)
    different +=
        Poco::Ascii::toLower(line[i]) != Poco::Ascii::toLower(known[i]);
  return different == 1;
}

// Whether a header is most likely Content-Length or Transfer-Encoding with a
// spoilt byte, which may also be a colon within the name. Without this check,
// the body would seem to end with its connection, wherever that breaks off.
bool HasSpoiltFraming(const HTTPResponse& head) {
  static const auto known = {HTTPMessage::CONTENT_LENGTH + ":",
                             HTTPMessage::TRANSFER_ENCODING + ":"};
  return std::any_of(head.begin(), head.end(), [](const auto& header) {
    const auto line = header.first + ":" + header.second;
    return std::ranges::any_of(known, [&line](const auto& start) {
      return ResemblesStart(line, start);
    });
  });
}

error Unreliable(const char* detail) {
  return MakeError(result_code::kTargetFailed, detail);
}

// Any other coding would leave chunk heads or coded bytes in the body.
result<body_framing> ParseCoding(const HTTPResponse& head,
                                 const std::vector<std::string>& codings,
                                 const std::vector<std::string>& lengths) {
  if (codings.size() != 1 ||
      Poco::icompare(codings.front(), HTTPMessage::CHUNKED_TRANSFER_ENCODING) !=
          0)
    return Unreliable("response has a transfer coding other than chunked");
  // Both headers at once are a sign of response smuggling: part of the body
  // could be taken for the response to another request.
  if (!lengths.empty())
    return Unreliable("response has both Content-Length and chunked coding");
  if (head.getVersion() == HTTPMessage::HTTP_1_0)
    return Unreliable("response has a transfer coding in HTTP/1.0");
  return body_framing(chunked_body{});
}

// A length that the type of lengths can't hold would come out negative.
result<body_framing> ParseLength(const std::vector<std::string>& lengths) {
  constexpr auto kMaxLength =
      static_cast<std::uint64_t>(std::numeric_limits<Poco::Int64>::max());
  const auto length = ParseDecimal(lengths.front());
  if (lengths.size() != 1 || !length || *length > kMaxLength)
    return Unreliable("invalid or repeated Content-Length in response");
  return body_framing(fixed_length_body{*length});
}

}  // namespace

bool HasNoBody(const HTTPResponse& head) {
  const int status = head.getStatus();
  return status < kFirstFinalStatus ||
         status == HTTPResponse::HTTP_NO_CONTENT ||
         status == HTTPResponse::HTTP_NOT_MODIFIED;
}

bool DeclaresBody(const HTTPResponse& head) {
  const auto lengths = ValuesOf(head, HTTPMessage::CONTENT_LENGTH);
  return head.has(HTTPMessage::TRANSFER_ENCODING) ||
         std::ranges::any_of(
             lengths, [](const auto& length) { return length != kNoBytes; });
}

result<body_framing> ParseResponseFraming(const HTTPResponse& head,
                                          bool is_response_to_head) {
  const auto codings = ValuesOf(head, HTTPMessage::TRANSFER_ENCODING);
  const auto lengths = ValuesOf(head, HTTPMessage::CONTENT_LENGTH);
  // The status of a response with a body may have been spoilt into this one.
  if (head.getStatus() == HTTPResponse::HTTP_NO_CONTENT && DeclaresBody(head))
    return Unreliable("response without content declares a body");
  body_framing sized = until_close_body{};
  if (!lengths.empty()) {
    BOOST_OUTCOME_TRY(length, ParseLength(lengths));
    sized = length;
  }
  if (is_response_to_head || HasNoBody(head))
    return body_framing(no_body{});
  if (!codings.empty())
    return ParseCoding(head, codings, lengths);
  if (lengths.empty() && HasSpoiltFraming(head))
    return Unreliable("response has a header that resembles one of framing");
  return sized;
}

}  // namespace samphire
