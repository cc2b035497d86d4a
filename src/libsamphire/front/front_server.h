#ifndef FRONT_FRONT_SERVER_H_
#define FRONT_FRONT_SERVER_H_

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>

#include <memory>
#include <string>

#include "front/front_control.h"
#include "metrics/metrics.h"

namespace samphire {

// One listening port: accepts connections up to its limit and serves HTTP on
// each in a thread of its own.
class front_server {
 public:
  front_server(const std::string& address,
               Poco::Net::HTTPRequestHandlerFactory::Ptr factory,
               const front_limits& limits,
               samphire::metrics& counters);
  ~front_server();

  void Start();
  void SetPhase(front_phase phase);
  // For requests that begin from now on.
  void SetTimeouts(milliseconds header, milliseconds idle);
  // Requests that are being served.
  int active() const;
  // Closes the port; what came too late to be served is told so.
  void Close();
  int connections() const;
  std::string address() const;

 private:
  front_control control_;
  Poco::Net::ServerSocket socket_;
  Poco::ThreadPool threads_;
  std::unique_ptr<Poco::Net::TCPServer> server_;
};

}  // namespace samphire

#endif  // FRONT_FRONT_SERVER_H_
