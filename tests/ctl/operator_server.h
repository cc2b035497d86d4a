#ifndef CTL_OPERATOR_SERVER_H_
#define CTL_OPERATOR_SERVER_H_

#include <Poco/Net/SocketAddress.h>

#include <string>

#include "ctl/fake_operator_api.h"
#include "entry/operator/operator_limits.h"
#include "front/front_server.h"
#include "metrics/metrics.h"

namespace samphire {

// The operator token of the tests.
inline constexpr const char* kTestToken = "a-secret-that-nobody-prints";

// An operator port with the real request handlers on a free port of 127.0.0.1,
// backed by `api`.
class operator_server {
 public:
  // Which calls get a response.
  enum class response_mode {
    kAll,
    // Changes are executed, but their connection is dropped without a response.
    kDropChangeResponses,
  };

  explicit operator_server(fake_operator_api& api,
                           response_mode mode = response_mode::kAll,
                           const operator_limits& limits = {});

  std::string url() const;
  Poco::Net::SocketAddress address() const;
  metrics& counters() { return counters_; }

 private:
  metrics counters_;
  front_server server_;
};

// Returns a URL at which no server listens.
std::string UnreachableUrl();

}  // namespace samphire

#endif  // CTL_OPERATOR_SERVER_H_
