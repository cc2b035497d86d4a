#ifndef CTL_OPERATOR_SERVER_H_
#define CTL_OPERATOR_SERVER_H_

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/SocketAddress.h>

#include <string>

#include "ctl/fake_operator_api.h"
#include "entry/operator/operator_limits.h"
#include "metrics/metrics.h"

namespace samphire {

inline constexpr const char* kTestToken = "a-secret-that-nobody-prints";

// An operator port on a free port of 127.0.0.1.
class operator_server {
 public:
  enum class answers {
    kAll,
    // Changes reach the entry, but their connection is cut without an answer.
    kCutChanges,
  };

  explicit operator_server(fake_operator_api& api,
                           answers kept = answers::kAll,
                           const operator_limits& limits = {});
  ~operator_server();

  std::string url() const;
  Poco::Net::SocketAddress address() const;
  metrics& counters() { return counters_; }

 private:
  metrics counters_;
  Poco::Net::HTTPServer server_;
};

// A URL at which nobody listens.
std::string DeadUrl();

}  // namespace samphire

#endif  // CTL_OPERATOR_SERVER_H_
