#ifndef STORE_HTTP_CONNECTION_POOL_H_
#define STORE_HTTP_CONNECTION_POOL_H_

#include <Poco/Net/HTTPClientSession.h>

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

#include "base/result.h"
#include "store/http_store_options.h"

namespace samphire {

// A pool of keep-alive connections to one address. A connection serves one call
// at a time and is returned only after a complete response; a connection that
// is not returned is closed. Thread-safe.
class http_connection_pool {
 public:
  using session_ptr = std::unique_ptr<Poco::Net::HTTPClientSession>;

  // `options` and `clock` must outlive the pool.
  http_connection_pool(std::string address,
                       const http_store_options& options,
                       const clock_source& clock);

  // Returns an idle connection or establishes a new one. Returns
  // kStoreUnreachable if that fails.
  result<session_ptr> Acquire();
  // Establishes a new connection regardless of idle ones. Returns
  // kStoreUnreachable if that fails.
  result<session_ptr> Connect();
  // Returns a connection to the pool. Closes it if enough are idle.
  void Release(session_ptr session);

 private:
  struct idle_session {
    session_ptr session;
    time_point idle_since;
  };

  // Returns the most recently used idle connection that is still usable, or
  // null. Closes the unusable ones that it finds.
  session_ptr AcquireIdle();

  const std::string address_;
  const http_store_options& options_;
  const clock_source& clock_;
  std::mutex lock_;
  std::vector<idle_session> idle_;
};

}  // namespace samphire

#endif  // STORE_HTTP_CONNECTION_POOL_H_
