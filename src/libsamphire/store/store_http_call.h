#ifndef STORE_STORE_HTTP_CALL_H_
#define STORE_STORE_HTTP_CALL_H_

#include <string>
#include <utility>
#include <vector>

#include "base/clock_source.h"

namespace samphire {

// One call to the platform over HTTP.
struct store_http_call {
  std::string method;
  std::string uri;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // It may change the platform, so that a lost answer matters.
  bool writes = false;
  milliseconds timeout{0};
};

// A whole answer, whatever its status.
struct store_http_reply {
  int status = 0;
  std::string etag;
  std::string body;
};

}  // namespace samphire

#endif  // STORE_STORE_HTTP_CALL_H_
