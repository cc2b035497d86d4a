#ifndef FRONT_CONNECTION_LIMITER_H_
#define FRONT_CONNECTION_LIMITER_H_

#include <Poco/Net/TCPServer.h>

#include <atomic>
#include <cstdint>

#include "base/result_code.h"
#include "front/front_shared_state.h"
#include "metrics/metrics.h"

namespace samphire {

// Admission control for one port: refuses connections with a result code and a
// retry time, with kTooManyConnections over `limit` and with kEntryLeaving
// while the port refuses requests. accept() runs in the server's accepting
// thread.
class connection_limiter final : public Poco::Net::TCPServerConnectionFilter {
 public:
  // `shared_state` must outlive this object.
  connection_limiter(std::uint32_t limit,
                     samphire::metrics& counters,
                     front_shared_state& shared_state);

  // Returns false after refusing the connection, see RefuseConnection().
  // Accepts every connection until set_server() is called.
  bool accept(const Poco::Net::StreamSocket& socket) override;
  // Sets the server whose open connections are counted. It must outlive the
  // calls of accept(). May be called from any thread.
  void set_server(const Poco::Net::TCPServer* server) { server_ = server; }

 private:
  // Whether the port serves as many connections as it may, or as many wait for
  // a thread.
  bool IsFull() const;
  void Refuse(const Poco::Net::StreamSocket& socket,
              result_code reason,
              milliseconds retry_after);

  std::uint32_t limit_;
  samphire::metrics& metrics_;
  front_shared_state& shared_state_;
  std::atomic<const Poco::Net::TCPServer*> server_{nullptr};
};

}  // namespace samphire

#endif  // FRONT_CONNECTION_LIMITER_H_
