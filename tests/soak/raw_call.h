#ifndef TESTS_SOAK_RAW_CALL_H_
#define TESTS_SOAK_RAW_CALL_H_

#include <string>

namespace samphire {

// The outcome of one request on a connection of its own, as seen by its caller.
struct raw_response {
  // No connection could be opened, so the entry can't have read the request.
  bool refused = false;
  // The connection was closed before the response was complete.
  bool broken = false;
  // HTTP status; 0 without a response, also if the time limit was exceeded.
  int status = 0;
  std::string body;
};

// Sends one request, without retries, with request ID `id` to the entry at
// `address` (HOST:PORT) and waits for the response, within a time limit.
// Thread-safe.
raw_response SendRawRequest(const std::string& address,
                            const std::string& method,
                            const std::string& path,
                            const std::string& id,
                            const std::string& body);

}  // namespace samphire

#endif  // TESTS_SOAK_RAW_CALL_H_
