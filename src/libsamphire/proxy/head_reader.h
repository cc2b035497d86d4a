#ifndef PROXY_HEAD_READER_H_
#define PROXY_HEAD_READER_H_

#include <Poco/Net/HTTPResponse.h>

#include <cstddef>
#include <istream>

#include "base/result.h"

namespace samphire {

// Upper bound on the head of a response, status line and headers, in bytes.
inline constexpr std::size_t kMaxResponseHeadBytes = std::size_t{64} << 10U;

// Reads the head of one response up to the blank line that ends it. Fails with
// kTargetFailed if the stream ends before that line, after
// kMaxResponseHeadBytes, or if what arrives is no HTTP/1 response. Waits for
// bytes for as long as the stream does.
result<void> ReadResponseHead(std::istream& input,
                              Poco::Net::HTTPResponse& head);

}  // namespace samphire

#endif  // PROXY_HEAD_READER_H_
