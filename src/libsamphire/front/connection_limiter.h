#ifndef FRONT_CONNECTION_LIMITER_H_
#define FRONT_CONNECTION_LIMITER_H_

#include <Poco/Net/TCPServer.h>

#include <atomic>
#include <cstdint>

#include "front/accept_times.h"
#include "metrics/metrics.h"

namespace samphire {

// Admission control for one port: refuses connections over `limit` with the
// result code kTooManyConnections and a retry time. accept() runs in the
// server's accepting thread.
class connection_limiter final : public Poco::Net::TCPServerConnectionFilter {
 public:
  // `accepted` is told of each connection that is accepted, and must outlive
  // this object.
  connection_limiter(std::uint32_t limit,
                     samphire::metrics& counters,
                     accept_times& accepted);

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
  accept_times& accepted_;
  std::atomic<const Poco::Net::TCPServer*> server_{nullptr};
};

}  // namespace samphire

#endif  // FRONT_CONNECTION_LIMITER_H_
