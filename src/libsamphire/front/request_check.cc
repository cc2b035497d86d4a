#include "front/request_check.h"

#include <Poco/Ascii.h>
#include <Poco/String.h>

#include <algorithm>
#include <string>
#include <string_view>

#include "base/decimal_text.h"
#include "front/header_names.h"
#include "proxy/message_head.h"

namespace samphire {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;

error Malformed(const char* detail) {
  return MakeError(result_code::kMalformedRequest, detail);
}

// Characters of a host and port (RFC 3986, authority without user).
bool IsHostByte(char byte) {
  constexpr std::string_view kMarks = "-._~!$&'()*+,;=:[]%";
  return Poco::Ascii::isAlphaNumeric(byte) ||
         kMarks.find(byte) != std::string_view::npos;
}

// With two hosts, or none, the receivers of a request may each take another one
// for its host.
result<void> CheckHost(const HTTPRequest& request) {
  const auto hosts = ValuesOf(request, HTTPRequest::HOST);
  const bool may_lack = request.getVersion() == HTTPMessage::HTTP_1_0;
  if (hosts.size() > 1 || (hosts.empty() && !may_lack))
    return Malformed("the request has no Host or more than one");
  if (!hosts.empty() && !std::ranges::all_of(hosts.front(), IsHostByte))
    return Malformed("Host is no name of a host");
  return Success();
}

// Guards against request smuggling. With an end of the body that can be read in
// two ways, one request could be hidden at the end of another, and its sender
// could receive another caller's response. RFC 9112 lets a list of equal
// lengths pass; no sound caller sends one.
result<body_framing> ParseFraming(const HTTPRequest& request) {
  const auto codings = ValuesOf(request, HTTPMessage::TRANSFER_ENCODING);
  const auto lengths = ValuesOf(request, HTTPMessage::CONTENT_LENGTH);
  if (!codings.empty()) {
    const bool sound =
        codings.size() == 1 && lengths.empty() &&
        request.getVersion() != HTTPMessage::HTTP_1_0 &&
        Poco::icompare(codings.front(),
                       HTTPMessage::CHUNKED_TRANSFER_ENCODING) == 0;
    if (!sound)
      return Malformed("conflicting body lengths or unsupported coding");
    return body_framing(chunked_body{});
  }
  if (lengths.empty())
    return body_framing(no_body{});
  const auto& text = lengths.front();
  if (lengths.size() > 1 || text.empty() ||
      !std::ranges::all_of(text, Poco::Ascii::isDigit))
    return Malformed("invalid or repeated Content-Length");
  const auto length = ParseDecimal(text);
  if (!length)
    return MakeError(result_code::kBodyTooLarge);
  return body_framing(fixed_length_body{*length});
}

}  // namespace

result<body_framing> CheckRequest(const HTTPRequest& request) {
  BOOST_OUTCOME_TRYV(CheckHost(request));
  BOOST_OUTCOME_TRYV(CheckReadByBoth(
      request, {&HTTPRequest::HOST, &HTTPMessage::CONTENT_LENGTH,
                &kHeaderRequestId, &kHeaderIdempotencyKey, &kHeaderDeadline}));
  return ParseFraming(request);
}

// Of two values, or of one that Connection takes away on the way, the target
// could read another than the entry.
result<void> CheckReadByBoth(const HTTPRequest& request,
                             std::initializer_list<const std::string*> names) {
  const auto options = ConnectionOptions(request);
  for (const auto* name : names) {
    const bool is_listed =
        std::ranges::find(options, Poco::toLower(*name)) != options.end();
    if (is_listed || ValuesOf(request, *name).size() > 1)
      return MakeError(result_code::kMalformedRequest,
                       *name + " is repeated or listed by Connection");
  }
  return Success();
}

}  // namespace samphire
