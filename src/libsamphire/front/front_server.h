#ifndef FRONT_FRONT_SERVER_H_
#define FRONT_FRONT_SERVER_H_

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <cstdint>
#include <memory>
#include <string>

#include "front/front_shared_state.h"
#include "metrics/metrics.h"

namespace samphire {

// HTTP server on one listening port: accepts connections up to a limit and
// serves each in a thread of its own. SetTimeouts(), SetMaxHeaderBytes(),
// active_requests(), connections() and refused_while_leaving() may be called
// from any thread, the other functions from one thread at a time.
class front_server {
 public:
  // Binds to `address` ("host:port"; port 0 picks a free one). Throws
  // Poco::Exception if that fails.
  front_server(const std::string& address,
               Poco::Net::HTTPRequestHandlerFactory::Ptr factory,
               const front_limits& limits,
               samphire::metrics& counters);
  // Calls Close() without waiting, and stops the threads.
  ~front_server();

  // Starts accepting connections.
  void Start();
  // Phases are meant to be entered in the order of their declaration.
  void SetPhase(front_phase phase);
  // Sets the limits for receiving a request head and for idle connections.
  // Applies to waits that begin after the call.
  void SetTimeouts(milliseconds header, milliseconds idle);
  // Replaces the upper bound of request heads, in bytes.
  void SetMaxHeaderBytes(std::uint32_t bytes);
  // Returns the number of requests being handled.
  int active_requests() const;
  // Enters kRefusing: connections that are idle, wait for a thread or come
  // later are refused with kEntryLeaving. Ends the accepting thread, so that
  // RefuseWaiting() must be called from time to time until Close(). Blocks for
  // up to about half a second.
  void StopAccepting();
  // Refuses the connections that wait to be accepted, while the port is open
  // and until `deadline` at the latest.
  void RefuseWaiting(time_point deadline);
  // Calls StopAccepting() unless that was done, and closes the port.
  // Connections that were accepted go on.
  void ClosePort();
  // Calls ClosePort() unless that was done. Blocks until all connections are
  // closed, at most until `deadline`; requests that are active then go on.
  void Close(time_point deadline);
  // Returns the number of connections being served.
  int connections() const;
  // Returns the number of requests and connections that were refused with
  // kEntryLeaving.
  int refused_while_leaving() const;
  // Returns the bound address with its actual port.
  std::string address() const;

 private:
  front_shared_state shared_state_;
  Poco::Net::ServerSocket socket_;
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::TCPServer> server_;
  bool is_accepting_ = false;
  bool is_port_closed_ = false;
};

}  // namespace samphire

#endif  // FRONT_FRONT_SERVER_H_
