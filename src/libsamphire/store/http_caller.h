#ifndef STORE_HTTP_CALLER_H_
#define STORE_HTTP_CALLER_H_

#include <atomic>
#include <cstddef>
#include <string>

#include "base/byte_budget.h"
#include "base/clock_source.h"
#include "base/result.h"
#include "proxy/connection_pool.h"
#include "proxy/http_exchange.h"
#include "proxy/tcp_connection_opener.h"
#include "store/http_store_options.h"
#include "store/store_http_call.h"

namespace samphire {

// Makes HTTP calls to the platform at any of its addresses, starting with the
// one that responded last. Never retries a write that may have been executed;
// retries and backoff are up to the caller. Any number of threads may call.
class http_caller {
 public:
  // `clock` must outlive this object.
  http_caller(http_store_options options, const clock_source& clock);

  // Blocks until a complete response was received, whatever its status except
  // 503, or all addresses failed; a write whose outcome is unknown at one
  // address is not sent to the next. Returns kStoreUnreachable when the call
  // had no effect and kStoreOutcomeUnknown when it may have had one.
  result<store_http_reply> Call(const store_http_call& call);

  const http_store_options& options() const { return options_; }

 private:
  // Makes the call at one address.
  result<store_http_reply> CallAddress(const std::string& address,
                                       const store_http_call& call);
  // Sends the request and reads the response on the connection of `exchange`.
  result<store_http_reply> Exchange(http_exchange& exchange,
                                    const store_http_call& call);

  const http_store_options options_;
  const clock_source& clock_;
  const tcp_connection_opener opener_;
  connection_pool pool_;
  byte_budget body_budget_;
  // Index of the address that responded last.
  std::atomic<std::size_t> preferred_index_{0};
};

// Returns the error for a response whose status is not success.
error ErrorForStatus(const store_http_call& call, int status);
// Returns the error for a call whose response is missing or incomplete:
// kStoreOutcomeUnknown for a write, kStoreUnreachable for a read.
error IncompleteResponseError(const store_http_call& call, std::string detail);

}  // namespace samphire

#endif  // STORE_HTTP_CALLER_H_
