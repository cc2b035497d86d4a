#ifndef TARGET_REQUEST_DIRECTIVES_H_
#define TARGET_REQUEST_DIRECTIVES_H_

#include <Poco/Net/HTTPRequest.h>

#include <cstdint>
#include <optional>
#include <string>

#include "base/clock_source.h"

namespace samphire {

// Parameters of a request to a simulated target, read from its headers. They
// select the response size and the fault to simulate.
struct request_directives {
  // Request-Id; "" if absent.
  std::string id;
  // Idempotency-Key; "" if absent.
  std::string key;
  // Target-Bytes: length of the filler that follows the echo header in the
  // response body.
  std::uint64_t bytes = 0;
  // Target-Truncate: sends only this many bytes of the body, then closes the
  // connection.
  std::optional<std::uint64_t> truncate;
  // Target-Sleep-Ms: service time, instead of a random one.
  std::optional<milliseconds> sleep;
  // Samphirewinch-Deadline-Ms: time that is left when the request arrives; it
  // is cancelled after that.
  std::optional<milliseconds> deadline;
  // Target-Crash: crashes the target if it is "1".
  bool crash = false;
  // Target-Chunked: if it is "1", uses chunked encoding without a content
  // length, so that only the last chunk shows that the response is complete.
  bool chunked = false;
};

// Reads the directives of a request. A malformed number counts as absent, and
// `bytes` is reduced to 256 MiB if it is larger.
request_directives ReadRequestDirectives(const Poco::Net::HTTPRequest& request);

}  // namespace samphire

#endif  // TARGET_REQUEST_DIRECTIVES_H_
