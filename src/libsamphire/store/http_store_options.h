#ifndef STORE_HTTP_STORE_OPTIONS_H_
#define STORE_HTTP_STORE_OPTIONS_H_

#include <string>
#include <vector>

#include "base/clock_source.h"

namespace samphire {

// How the platform is reached.
struct http_store_options {
  // IP:PORT by number; all lead to the same objects and are tried in turn.
  std::vector<std::string> addresses;
  milliseconds connect_timeout{500};
  // From the request's first byte to the answer's last.
  milliseconds answer_timeout{2000};
  // How much longer than its wait a watch may take.
  milliseconds watch_margin{2000};
  // A connection idle for longer is not used again.
  milliseconds max_idle{10'000};
};

}  // namespace samphire

#endif  // STORE_HTTP_STORE_OPTIONS_H_
