#ifndef PROXY_BODY_FRAMING_H_
#define PROXY_BODY_FRAMING_H_

#include <Poco/Net/HTTPResponse.h>

#include <cstdint>
#include <variant>

#include "base/result.h"

namespace samphire {

// How the end of an answer's body is told.
struct no_body {};
struct fixed_length_body {
  std::uint64_t length = 0;
};
struct chunked_body {};
// Ends with its connection: an orderly close ends it, a reset cuts it.
struct until_close_body {};

using body_framing =
    std::variant<no_body, fixed_length_body, chunked_body, until_close_body>;

// What the head of an answer says.
result<body_framing> FramingOf(const Poco::Net::HTTPResponse& head,
                               bool answers_head_request);

}  // namespace samphire

#endif  // PROXY_BODY_FRAMING_H_
