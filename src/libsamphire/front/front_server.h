#ifndef FRONT_FRONT_SERVER_H_
#define FRONT_FRONT_SERVER_H_

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <memory>
#include <string>

#include "front/front_shared_state.h"
#include "metrics/metrics.h"

namespace samphire {

// HTTP server on one listening port: accepts connections up to a limit and
// serves each in a thread of its own. SetTimeouts(), active_requests() and
// connections() may be called from any thread; Start(), SetPhase() and Close()
// from one thread at a time.
class front_server {
 public:
  // Binds to `address` ("host:port"; port 0 picks a free one). Throws
  // Poco::Exception if that fails.
  front_server(const std::string& address,
               Poco::Net::HTTPRequestHandlerFactory::Ptr factory,
               const front_limits& limits,
               samphire::metrics& counters);
  // Calls Close() and stops the threads.
  ~front_server();

  // Starts accepting connections.
  void Start();
  // Phases are meant to be entered in the order of their declaration.
  void SetPhase(front_phase phase);
  // Sets the limits for receiving a request head and for idle connections.
  // Applies to waits that begin after the call.
  void SetTimeouts(milliseconds header, milliseconds idle);
  // Returns the number of requests being handled.
  int active_requests() const;
  // Enters kRefusing and closes the port. Connections that were not accepted
  // yet are refused with kEntryLeaving. Doesn't wait for active requests.
  void Close();
  // Returns the number of connections being served.
  int connections() const;
  // Returns the bound address with its actual port.
  std::string address() const;

 private:
  front_shared_state shared_state_;
  Poco::Net::ServerSocket socket_;
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::TCPServer> server_;
};

}  // namespace samphire

#endif  // FRONT_FRONT_SERVER_H_
