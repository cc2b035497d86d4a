#ifndef STORE_HTTP_STORE_OPTIONS_H_
#define STORE_HTTP_STORE_OPTIONS_H_

#include <string>
#include <vector>

#include "base/clock_source.h"

namespace samphire {

// Addresses and time limits of the HTTP client of the platform.
struct http_store_options {
  // Numeric IP:PORT. All addresses lead to the same objects and are tried in
  // turn.
  std::vector<std::string> addresses;
  // Maximum time for establishing a connection to one address.
  milliseconds connect_timeout{500};
  // Maximum time from the first byte of the request to the head of the
  // response, for all calls but watches. The body has limits of its own
  // (body_time_limits.h).
  milliseconds response_timeout{2000};
  // Added to the wait time of a watch to obtain the timeout of its call.
  milliseconds watch_timeout_margin{2000};
  // Connections that have been idle for longer are closed, not reused.
  milliseconds max_idle_time{10'000};
  // Name of the header in which responses name the era of the store; empty if
  // they name none.
  std::string era_header;
};

}  // namespace samphire

#endif  // STORE_HTTP_STORE_OPTIONS_H_
