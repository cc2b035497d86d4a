#ifndef LEDGER_RESERVATION_REQUEST_H_
#define LEDGER_RESERVATION_REQUEST_H_

#include <string>

#include "base/clock_source.h"

namespace samphire {

// A request that may run once at most and asks to be run now.
struct reservation_request {
  std::string service;
  std::string key;
  std::string request_digest;
  time_point deadline;
};

}  // namespace samphire

#endif  // LEDGER_RESERVATION_REQUEST_H_
