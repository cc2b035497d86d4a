#include "store/stand_in_server.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>

#include "store/stand_in_handler.h"

namespace samphire {

namespace {

// POCO gives each open connection a thread, and each waiting watch holds one.
// Sized for a test fleet of some dozen instances with a few connections each.
constexpr int kMaxConnections = 512;
constexpr int kBacklog = 256;
constexpr int kIdleSeconds = 60;

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
  params->setKeepAliveTimeout(Poco::Timespan(kIdleSeconds, 0));
  return params;
}

}  // namespace

// POCO's server sets TCP_NODELAY on each connection that it accepts.
stand_in_server::stand_in_server(const std::string& address,
                                 stand_in_objects& objects)
    : objects_(objects), threads_(2, kMaxConnections) {
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress(address), true);
  socket.listen(kBacklog);
  server_ = std::make_unique<Poco::Net::HTTPServer>(
      new handler_factory(objects_, faults_), threads_, socket, Params());
  server_->start();
}

stand_in_server::~stand_in_server() {
  faults_.down = true;
  objects_.SetWatchesCut(true);
  server_->stopAll(true);
  threads_.joinAll();
  objects_.SetWatchesCut(false);
}

std::string stand_in_server::address() const {
  return server_->socket().address().toString();
}

}  // namespace samphire
