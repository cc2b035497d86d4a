#ifndef ROUTING_TARGET_NOTICE_H_
#define ROUTING_TARGET_NOTICE_H_

#include <optional>
#include <string>

namespace samphire {

// What a target asks of its senders with a response.
struct target_notice {
  // The number of requests per second that the target takes from all entries
  // together; nothing if it takes any number.
  std::optional<double> rate_limit;
  // The target shuts down soon and must not get new requests.
  bool leaving = false;
};

// Parses a rate limit, a decimal number of requests per second. Returns nothing
// if `text` is not a finite number of at least 0.
std::optional<double> ParseRateLimit(const std::string& text);

}  // namespace samphire

#endif  // ROUTING_TARGET_NOTICE_H_
