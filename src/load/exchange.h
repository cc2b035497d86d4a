#ifndef LOAD_EXCHANGE_H_
#define LOAD_EXCHANGE_H_

#include <Poco/Net/HTTPRequest.h>

#include <string>

#include "history/request_answered.h"
#include "keep_alive_pool.h"

namespace samphire {

// One attempt to send a request on one connection.
struct exchange_request {
  // Local IP address to connect from; "" for any.
  std::string source;
  // IP:PORT of an entry or a target.
  std::string destination;
  Poco::Net::HTTPRequest request;
  // How long the caller waits to connect, and then for each read, before it
  // abandons the exchange.
  duration response_timeout{0};
};

// Sends a request, reads the whole response and classifies its body. Blocks.
// Thread-safe for distinct `exchange` objects. Never throws on network errors;
// the result's `body` tells how the exchange failed. Leaves `id`, `time_us` and
// `latency_us` for the caller of this function to fill in.
request_answered Exchange(keep_alive_pool& pool, exchange_request& exchange);

}  // namespace samphire

#endif  // LOAD_EXCHANGE_H_
