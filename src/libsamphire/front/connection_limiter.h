#ifndef FRONT_CONNECTION_LIMITER_H_
#define FRONT_CONNECTION_LIMITER_H_

#include <Poco/Net/TCPServer.h>

#include <atomic>
#include <cstdint>

#include "metrics/metrics.h"

namespace samphire {

// Admission control for one port: refuses connections over `limit` with the
// result code kTooManyConnections and a retry time. accept() runs in the
// server's accepting thread.
class connection_limiter final : public Poco::Net::TCPServerConnectionFilter {
 public:
  connection_limiter(std::uint32_t limit, samphire::metrics& counters);

  // Returns false after refusing the connection, which blocks for a bounded
  // time, see RefuseConnection(); no other connection is accepted meanwhile.
  // Accepts every connection until set_server() is called.
  bool accept(const Poco::Net::StreamSocket& socket) override;
  // Sets the server whose open connections are counted. It must outlive the
  // calls of accept(). May be called from any thread.
  void set_server(const Poco::Net::TCPServer* server) { server_ = server; }

 private:
  std::uint32_t limit_;
  samphire::metrics& metrics_;
  std::atomic<const Poco::Net::TCPServer*> server_{nullptr};
};

}  // namespace samphire

#endif  // FRONT_CONNECTION_LIMITER_H_
