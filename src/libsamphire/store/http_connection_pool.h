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

// Keep-alive connections to one address, shared by threads. A connection is
// with one call at a time and comes back only after a whole answer.
class http_connection_pool {
 public:
  using session_ptr = std::unique_ptr<Poco::Net::HTTPClientSession>;

  http_connection_pool(std::string address,
                       const http_store_options& options,
                       const clock_source& clock);

  // An idle connection, or a new one; kStoreUnreachable if none can be made.
  result<session_ptr> Take();
  // A connection that was made for this call alone.
  result<session_ptr> Connect();
  void GiveBack(session_ptr session);

 private:
  struct idle_session {
    session_ptr session;
    time_point since;
  };

  session_ptr TakeIdle();

  const std::string address_;
  const http_store_options& options_;
  const clock_source& clock_;
  std::mutex lock_;
  std::vector<idle_session> idle_;
};

}  // namespace samphire

#endif  // STORE_HTTP_CONNECTION_POOL_H_
