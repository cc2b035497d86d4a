#ifndef LOAD_EXCHANGE_H_
#define LOAD_EXCHANGE_H_

#include <Poco/Net/HTTPRequest.h>

#include <string>

#include "history/request_answered.h"
#include "keep_alive_pool.h"

namespace samphire {

// One sending of a request.
struct exchange_order {
  std::string source;
  std::string destination;
  Poco::Net::HTTPRequest request;
  // How long the caller waits.
  duration patience{0};
};

// Sends a request, reads and judges the whole answer. The time of the answer
// and the latency are left to the caller of this function.
request_answered Exchange(keep_alive_pool& pool, exchange_order& order);

}  // namespace samphire

#endif  // LOAD_EXCHANGE_H_
