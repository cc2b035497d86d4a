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
  // Whether the call may modify objects, so that its outcome is unknown without
  // a response.
  bool writes = false;
  // From the first byte of the request to the head of the response.
  milliseconds timeout{0};
};

// A complete response, whatever its status.
struct store_http_reply {
  int status = 0;
  // Empty if the response has no Etag.
  std::string etag;
  // Value of the header that http_store_options names; empty without it.
  std::string era;
  std::string body;
};

}  // namespace samphire

#endif  // STORE_STORE_HTTP_CALL_H_
