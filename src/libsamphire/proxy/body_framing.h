#ifndef PROXY_BODY_FRAMING_H_
#define PROXY_BODY_FRAMING_H_

#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <variant>

#include "base/result.h"

namespace samphire {

// How the end of a message body is determined (RFC 9112, message body length).
struct no_body {};
struct fixed_length_body {
  std::uint64_t length = 0;
};
// Ends with the chunk of length zero and its trailer.
struct chunked_body {};
// Ends with its connection: an orderly close completes the body, a reset
// truncates it.
struct until_close_body {};

using body_framing =
    std::variant<no_body, fixed_length_body, chunked_body, until_close_body>;

// Whether responses with the status of `head` never have a body.
bool HasNoBody(const Poco::Net::HTTPResponse& head);
// Whether the headers announce a body that is not empty, whatever the status.
bool DeclaresBody(const Poco::Net::HTTPResponse& head);

// Determines the framing of a response's body from its head.
// `is_response_to_head` means that the request's method was HEAD. Fails with
// kTargetFailed if the head leaves room for doubt: length headers that are
// invalid, repeated, contradictory or seem spoilt, a coding other than chunked,
// or a declared body where the status allows none. May be called from any
// thread.
result<body_framing> ParseResponseFraming(const Poco::Net::HTTPResponse& head,
                                          bool is_response_to_head);

}  // namespace samphire

#endif  // PROXY_BODY_FRAMING_H_
