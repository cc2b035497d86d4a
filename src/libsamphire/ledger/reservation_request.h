#ifndef LEDGER_RESERVATION_REQUEST_H_
#define LEDGER_RESERVATION_REQUEST_H_

#include <string>

#include "base/clock_source.h"

namespace samphire {

// Asks for the right to execute a request that may be executed at most once.
// `key` is its idempotency key.
struct reservation_request {
  std::string service;
  std::string key;
  // Digest of method, path and body.
  std::string request_digest;
  // On this process's monotonic clock: the request must be dispatched before.
  time_point deadline;
};

}  // namespace samphire

#endif  // LEDGER_RESERVATION_REQUEST_H_
