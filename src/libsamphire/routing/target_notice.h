#ifndef ROUTING_TARGET_NOTICE_H_
#define ROUTING_TARGET_NOTICE_H_

#include <optional>
#include <string>

#include "base/clock_source.h"

namespace samphire {

// What a target asks of its senders with a response.
struct target_notice {
  // The number of requests per second that the target takes from all entries
  // together; nothing if it takes any number.
  std::optional<double> rate_limit;
  // The target shuts down soon and must not get new requests.
  bool leaving = false;
  // The target refused the request and wants none from this entry for this
  // time; nothing if it did not ask for that.
  std::optional<milliseconds> pause;
};

// Parses a rate limit, a decimal number of requests per second. Returns nothing
// if `text` is not a finite number of at least 0.
std::optional<double> ParseRateLimit(const std::string& text);
// Parses the time until a retry, a decimal number of seconds, of which an hour
// counts at most. Returns nothing if `text` is not a finite number of at least
// 0, such as a date.
std::optional<milliseconds> ParsePause(const std::string& text);

}  // namespace samphire

#endif  // ROUTING_TARGET_NOTICE_H_
