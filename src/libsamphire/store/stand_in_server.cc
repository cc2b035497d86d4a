#include "store/stand_in_server.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>

#include "store/stand_in_handler.h"

namespace samphire {

namespace {

// POCO uses one thread per open connection, and each waiting watch occupies
// one. Dimensioned for a test fleet of several dozen instances with a few
// connections each.
constexpr int kMaxConnections = 512;
constexpr int kListenBacklog = 256;
constexpr int kKeepAliveTimeoutSeconds = 60;

class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  handler_factory(stand_in_objects& objects, stand_in_faults& faults)
      : objects_(objects), faults_(faults) {}

  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest& /*request*/) override {
    return new stand_in_handler(objects_, faults_);
  }

 private:
  stand_in_objects& objects_;
  stand_in_faults& faults_;
};

Poco::Net::HTTPServerParams::Ptr Params() {
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(kMaxConnections);
  params->setMaxQueued(kMaxConnections);
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(Poco::Timespan(kKeepAliveTimeoutSeconds, 0));
  return params;
}

}  // namespace

// POCO's server sets TCP_NODELAY on each connection that it accepts.
stand_in_server::stand_in_server(const std::string& address,
                                 stand_in_objects& objects)
    : objects_(objects), threads_(2, kMaxConnections) {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress(address), true);
  socket.listen(kListenBacklog);
  server_ = std::make_unique<Poco::Net::HTTPServer>(
      new handler_factory(objects_, faults_), threads_, socket, Params());
  server_->start();
}

stand_in_server::~stand_in_server() {
  faults_.down = true;
  objects_.SetWatchesInterrupted(true);
  server_->stopAll(true);
  threads_.joinAll();
  objects_.SetWatchesInterrupted(false);
}

std::string stand_in_server::address() const {
  return server_->socket().address().toString();
}

}  // namespace samphire
