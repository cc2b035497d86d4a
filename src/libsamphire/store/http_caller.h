#ifndef STORE_HTTP_CALLER_H_
#define STORE_HTTP_CALLER_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <vector>

#include "base/clock_source.h"
#include "base/result.h"
#include "store/http_connection_pool.h"
#include "store/http_store_options.h"
#include "store/store_http_call.h"

namespace samphire {

// Makes calls to the platform at any of its addresses. Tries no write twice:
// that and backing off are the caller's.
class http_caller {
 public:
  http_caller(http_store_options options, const clock_source& clock);

  // kStoreUnreachable: it had no effect. kStoreOutcomeUnknown: it may have.
  result<store_http_reply> Call(const store_http_call& what);

  const http_store_options& options() const { return options_; }

 private:
  result<store_http_reply> TryPool(http_connection_pool& pool,
                                   const store_http_call& what);
  result<store_http_reply> Exchange(Poco::Net::HTTPClientSession& session,
                                    const store_http_call& what);

  const http_store_options options_;
  const clock_source& clock_;
  std::vector<std::unique_ptr<http_connection_pool>> pools_;
  // The address that answered last.
  std::atomic<std::size_t> preferred_{0};
};

// What a status other than success means for the call.
error RefusalOf(const store_http_call& what, int status);
// A call whose answer did not come whole.
error Unanswered(const store_http_call& what, std::string detail);

}  // namespace samphire

#endif  // STORE_HTTP_CALLER_H_
