#ifndef PROXY_EXCHANGE_OPTIONS_H_
#define PROXY_EXCHANGE_OPTIONS_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"

namespace samphire {

// Options of one HTTP exchange with a target or peer.
struct exchange_options {
  // Bounds opening a connection. A target on the same or a neighbouring site
  // accepts a connection in about 1 ms; waiting longer only delays the attempt
  // on another target.
  milliseconds connect_timeout{500};
  // Whether a response may end with its connection instead of declaring its
  // length. A truncated response can then be detected only by a reset.
  bool accept_unframed = false;
  // Bounds the body of a response that declares no length, in bytes. Time is
  // bounded by the deadline of the exchange.
  std::uint64_t max_unframed_body = std::uint64_t{1} << 30U;
  // Name of the header in which the other side echoes the request's id, empty
  // if it doesn't, and the id expected there. A response with another id is a
  // late response to an earlier request and is skipped.
  std::string echo_header;
  std::string echo_value;
};

}  // namespace samphire

#endif  // PROXY_EXCHANGE_OPTIONS_H_
