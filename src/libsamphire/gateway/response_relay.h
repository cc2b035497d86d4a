#ifndef GATEWAY_RESPONSE_RELAY_H_
#define GATEWAY_RESPONSE_RELAY_H_

#include <string_view>

#include "gateway/outgoing_request.h"
#include "gateway/relay_result.h"
#include "gateway/response_sink.h"
#include "proxy/caller_watch.h"
#include "proxy/connection_pool.h"
#include "proxy/http_exchange.h"

namespace samphire {

// Sends one request to a target or peer and relays the response. A short
// response is buffered completely and returned to the owner of the relay, so
// that a truncated or failed attempt can still be retried elsewhere; a longer
// one is streamed to the sink through a small buffer. Used by the thread of one
// request; not thread-safe. All references must outlive the relay.
class response_relay {
 public:
  // `status` is what the entry adds to a response that is streamed.
  response_relay(connection_pool& pool,
                 const caller_watch& caller,
                 response_sink& sink,
                 response_status status);

  // Sends the request once. Blocks until a short response is complete, a long
  // one has been streamed, or the exchange has failed; waits for the target
  // until the request's deadline at most. Errors are reported as the outcome of
  // the result.
  relay_result Run(const outgoing_request& request);

 private:
  // Reads the response into `end`, or streams it if it is too long to buffer.
  void ReadResponse(http_exchange& exchange, relay_result& end);
  // Streams the response; `first` is the part of its body that has been read.
  void Stream(http_exchange& exchange,
              const Poco::Net::HTTPResponse& head,
              std::string_view first,
              relay_result& end);

  connection_pool& pool_;
  const caller_watch& caller_;
  response_sink& sink_;
  response_status status_;
};

// Writes a buffered response to the sink and ends it. Aborts the sink if the
// caller no longer reads.
void SendBuffered(response_sink& sink,
                  const buffered_response& response,
                  const response_status& status);

}  // namespace samphire

#endif  // GATEWAY_RESPONSE_RELAY_H_
