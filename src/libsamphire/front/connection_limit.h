#ifndef FRONT_CONNECTION_LIMIT_H_
#define FRONT_CONNECTION_LIMIT_H_

#include <Poco/Net/TCPServer.h>

#include <atomic>
#include <cstdint>

#include "metrics/metrics.h"

namespace samphire {

// Refuses connections over the limit with a numbered answer.
class connection_limit final : public Poco::Net::TCPServerConnectionFilter {
 public:
  connection_limit(std::uint32_t limit, samphire::metrics& counters);

  bool accept(const Poco::Net::StreamSocket& socket) override;
  void set_server(const Poco::Net::TCPServer* server) { server_ = server; }

 private:
  std::uint32_t limit_;
  samphire::metrics& metrics_;
  std::atomic<const Poco::Net::TCPServer*> server_{nullptr};
};

}  // namespace samphire

#endif  // FRONT_CONNECTION_LIMIT_H_
