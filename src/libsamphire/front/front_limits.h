#ifndef FRONT_FRONT_LIMITS_H_
#define FRONT_FRONT_LIMITS_H_

#include <cstdint>

#include "base/clock_source.h"

namespace samphire {

// Bounds the connections that wait in the kernel's accept queue, and separately
// those that wait in the server's own queue for a thread.
inline constexpr int kMaxQueued = 512;
// Retry time given to callers that are refused because the entry stops. Another
// entry can serve them at once.
inline constexpr milliseconds kLeavingRetryAfter{100};

// Limits on the resources that callers can use before a request has been
// parsed, for one port.
struct front_limits {
  // Connections open at a time; each occupies one thread.
  std::uint32_t max_connections = 400;
  // Size of one request head: request line and headers.
  std::uint32_t max_header_bytes = 16384;
  // Time from the first byte of a request to the end of its head. The body may
  // take as long again.
  milliseconds header_timeout{5000};
  // Time that a connection may stay open without a request.
  milliseconds idle_timeout{30'000};
};

}  // namespace samphire

#endif  // FRONT_FRONT_LIMITS_H_
