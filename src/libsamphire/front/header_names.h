#ifndef FRONT_HEADER_NAMES_H_
#define FRONT_HEADER_NAMES_H_

#include <string>

namespace samphire {

// The headers of the callers' interface and of passed requests.
inline const std::string kHeaderDeadline = "Samphirewinch-Deadline-Ms";
inline const std::string kHeaderIdempotencyKey = "Idempotency-Key";
inline const std::string kHeaderResult = "Samphirewinch-Result";
inline const std::string kHeaderRun = "Samphirewinch-Run";
inline const std::string kHeaderConfig = "Samphirewinch-Config";
inline const std::string kHeaderRetryAfter = "Retry-After";
// The same as Retry-After, for callers that can wait less than a second.
inline const std::string kHeaderRetryAfterMs = "Samphirewinch-Retry-After-Ms";
inline const std::string kHeaderRequestId = "Request-Id";
// Set on a request that one entry passes to another.
inline const std::string kHeaderHomeRegion = "Samphirewinch-Home-Region";

}  // namespace samphire

#endif  // FRONT_HEADER_NAMES_H_
