#ifndef FRONT_HEADER_NAMES_H_
#define FRONT_HEADER_NAMES_H_

#include <string>

namespace samphire {

// Names of the HTTP headers between callers and entries, and on requests that
// one entry forwards to another.

// On a request: time that is left for the response, a positive number of
// milliseconds.
inline const std::string kHeaderDeadline = "Samphirewinch-Deadline-Ms";
inline const std::string kHeaderIdempotencyKey = "Idempotency-Key";
// On a response: number and name of the result code, separated by a space.
inline const std::string kHeaderResult = "Samphirewinch-Result";
// Whether the request ran at a target.
inline const std::string kHeaderRun = "Samphirewinch-Run";
// Version of the configuration under which the request was handled.
inline const std::string kHeaderConfig = "Samphirewinch-Config";
inline const std::string kHeaderRetryAfter = "Retry-After";
// Retry time in milliseconds, for callers that can wait less than a second.
inline const std::string kHeaderRetryAfterMs = "Samphirewinch-Retry-After-Ms";
inline const std::string kHeaderRequestId = "Request-Id";
// Set on a request that one entry forwards to another: the region that the
// caller's address belongs to.
inline const std::string kHeaderHomeRegion = "Samphirewinch-Home-Region";

}  // namespace samphire

#endif  // FRONT_HEADER_NAMES_H_
