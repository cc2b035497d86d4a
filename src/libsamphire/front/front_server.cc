#include "front/front_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>

#include <utility>

#include "base/log.h"
#include "front/connection_limit.h"
#include "front/front_connection.h"
#include "front/turn_away.h"

namespace samphire {

namespace {

constexpr int kSpareThreads = 4;
constexpr milliseconds kLateRetryAfter{100};
constexpr int kBacklog = 512;
constexpr int kThreadIdleSeconds = 30;
// Threads mostly wait; half a megabyte holds the deepest call with room.
constexpr int kStackBytes = 512 * 1024;

class connection_factory final : public Poco::Net::TCPServerConnectionFactory {
 public:
  connection_factory(Poco::Net::HTTPRequestHandlerFactory::Ptr handlers,
                     front_control& control,
                     samphire::metrics& counters)
      : params_(new Poco::Net::HTTPServerParams),
        handlers_(std::move(handlers)),
        control_(control),
        metrics_(counters) {
    params_->setKeepAlive(true);
    params_->setMaxKeepAliveRequests(0);
    params_->setTimeout(Poco::Timespan(
        std::chrono::duration_cast<microseconds>(control.header_timeout.load())
            .count()));
    params_->setKeepAliveTimeout(Poco::Timespan(
        std::chrono::duration_cast<microseconds>(control.idle_timeout.load())
            .count()));
  }

  Poco::Net::TCPServerConnection* createConnection(
      const Poco::Net::StreamSocket& socket) override {
    return new front_connection(socket, params_, handlers_, control_, metrics_);
  }

 private:
  Poco::Net::HTTPServerParams::Ptr params_;
  Poco::Net::HTTPRequestHandlerFactory::Ptr handlers_;
  front_control& control_;
  samphire::metrics& metrics_;
};

}  // namespace

front_server::front_server(const std::string& address,
                           Poco::Net::HTTPRequestHandlerFactory::Ptr factory,
                           const front_limits& limits,
                           samphire::metrics& counters)
    : control_(limits),
      threads_(2,
               static_cast<int>(limits.max_connections) + kSpareThreads,
               kThreadIdleSeconds,
               kStackBytes) {
  socket_.bind(Poco::Net::SocketAddress(address), true, false);
  socket_.listen(kBacklog);
  Poco::Net::TCPServerParams::Ptr params = new Poco::Net::TCPServerParams;
  params->setMaxThreads(static_cast<int>(limits.max_connections) +
                        kSpareThreads);
  params->setMaxQueued(kBacklog);
  server_ = std::make_unique<Poco::Net::TCPServer>(
      new connection_factory(std::move(factory), control_, counters), threads_,
      socket_, params);
  Poco::AutoPtr<connection_limit> limit(
      new connection_limit(limits.max_connections, counters));
  limit->set_server(server_.get());
  server_->setConnectionFilter(limit);
}

front_server::~front_server() {
  Close();
  threads_.stopAll();
}

void front_server::Start() {
  server_->start();
}

void front_server::SetPhase(front_phase phase) {
  control_.phase = phase;
  if (phase == front_phase::kTurningAway)
    control_.turning_away.close(Poco::Pipe::CLOSE_WRITE);
}

void front_server::SetTimeouts(milliseconds header, milliseconds idle) {
  control_.header_timeout = header;
  control_.idle_timeout = idle;
}

int front_server::active() const {
  return control_.active;
}

// Connections that the machine took but nobody accepted are reset when the
// port closes. Their callers have sent a request and can't know whether it
// ran; so they are taken in and told that it did not.
void front_server::Close() {
  SetPhase(front_phase::kTurningAway);
  server_->stop();
  try {
    while (socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      auto late = socket_.acceptConnection();
      TurnAway(late, result_code::kEntryLeaving, kLateRetryAfter);
    }
    socket_.close();
  } catch (const Poco::Exception& e) {
    Log(log_level::kDebug, "port-closed", {{"detail", e.displayText()}});
  }
}

int front_server::connections() const {
  return server_->currentConnections();
}

std::string front_server::address() const {
  return socket_.address().toString();
}

}  // namespace samphire
