#include "front/front_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "base/log.h"
#include "base/result.h"
#include "front/connection_limiter.h"
#include "front/front_connection.h"
#include "front/refuse_connection.h"

namespace samphire {

namespace {

// Threads beyond the connection limit.
constexpr int kSpareThreads = 4;
// Interval at which a closing port checks whether connections are left.
constexpr milliseconds kClosePollInterval{5};
// Bounds the time for which connections that wait for a thread are waited for.
constexpr milliseconds kMaxQueueTime{200};
// Bounds the time for which connections that have not been accepted are refused
// before a port goes on to close.
constexpr milliseconds kMaxRefuseTime{50};
// Idle threads end after this time.
constexpr int kThreadIdleSeconds = 30;
// Stack size of a connection's thread. The threads mostly wait; half a megabyte
// holds the deepest call chain with a margin.
constexpr int kStackBytes = 512 * 1024;

// Creates a front_connection for each accepted socket.
class connection_factory final : public Poco::Net::TCPServerConnectionFactory {
 public:
  connection_factory(Poco::Net::HTTPRequestHandlerFactory::Ptr handlers,
                     front_shared_state& shared_state,
                     samphire::metrics& counters)
      : params_(new Poco::Net::HTTPServerParams),
        handlers_(std::move(handlers)),
        shared_state_(shared_state),
        metrics_(counters) {
    params_->setKeepAlive(true);
    params_->setMaxKeepAliveRequests(0);
    params_->setTimeout(Poco::Timespan(std::chrono::duration_cast<microseconds>(
                                           shared_state.header_timeout.load())
                                           .count()));
    params_->setKeepAliveTimeout(
        Poco::Timespan(std::chrono::duration_cast<microseconds>(
                           shared_state.idle_timeout.load())
                           .count()));
  }

  Poco::Net::TCPServerConnection* createConnection(
      const Poco::Net::StreamSocket& socket) override {
    return new front_connection(socket, params_, handlers_, shared_state_,
                                metrics_);
  }

 private:
  Poco::Net::HTTPServerParams::Ptr params_;
  Poco::Net::HTTPRequestHandlerFactory::Ptr handlers_;
  front_shared_state& shared_state_;
  samphire::metrics& metrics_;
};

}  // namespace

front_server::front_server(const std::string& address,
                           Poco::Net::HTTPRequestHandlerFactory::Ptr factory,
                           const front_limits& limits,
                           samphire::metrics& counters)
    : shared_state_(limits),
      threads_(2,
               static_cast<int>(limits.max_connections) + kSpareThreads,
               kThreadIdleSeconds,
               kStackBytes) {
  socket_.bind(Poco::Net::SocketAddress(address), true, false);
  socket_.listen(kMaxQueued);
  Poco::Net::TCPServerParams::Ptr params = new Poco::Net::TCPServerParams;
  params->setMaxThreads(static_cast<int>(limits.max_connections) +
                        kSpareThreads);
  params->setMaxQueued(kMaxQueued);
  server_ = std::make_unique<Poco::Net::TCPServer>(
      new connection_factory(std::move(factory), shared_state_, counters),
      threads_, socket_, params);
  Poco::AutoPtr<connection_limiter> limit(
      new connection_limiter(limits.max_connections, counters, shared_state_));
  limit->set_server(server_.get());
  server_->setConnectionFilter(limit);
}

front_server::~front_server() {
  Close(std::chrono::steady_clock::now());
  threads_.stopAll();
}

void front_server::Start() {
  is_accepting_ = true;
  server_->start();
}

void front_server::SetPhase(front_phase phase) {
  shared_state_.phase = phase;
  if (phase >= front_phase::kRefusing)
    shared_state_.refusing.Cancel();
  if (phase >= front_phase::kCutting)
    shared_state_.cutting.Cancel();
}

void front_server::SetTimeouts(milliseconds header, milliseconds idle) {
  shared_state_.header_timeout = header;
  shared_state_.idle_timeout = idle;
}

void front_server::SetMaxHeaderBytes(std::uint32_t bytes) {
  shared_state_.max_header_bytes = bytes;
}

int front_server::active_requests() const {
  return shared_state_.active_requests;
}

// The server drops connections that wait for a thread when it stops. Their
// callers may have sent a request and could not tell whether it ran.
void front_server::StopAccepting() {
  SetPhase(std::max(shared_state_.phase.load(), front_phase::kRefusing));
  if (!std::exchange(is_accepting_, false))
    return;
  const auto queue_until = std::chrono::steady_clock::now() + kMaxQueueTime;
  while (shared_state_.accepted.waiting() > 0 &&
         std::chrono::steady_clock::now() < queue_until)
    std::this_thread::sleep_for(kClosePollInterval);
  server_->stop();
  RefuseWaiting(std::chrono::steady_clock::now() + kMaxRefuseTime);
}

// Connections that the kernel has completed but nobody has accepted are reset
// when the socket closes. So they are accepted and refused, which states that
// the request did not run. Callers that connect again at once would keep this
// going for as long as they like.
void front_server::RefuseWaiting(time_point deadline) {
  if (is_port_closed_)
    return;
  try {
    while (std::chrono::steady_clock::now() < deadline &&
           socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      ++shared_state_.refused_while_leaving;
      RefuseConnection(socket_.acceptConnection(),
                       MakeError(result_code::kEntryLeaving),
                       kLeavingRetryAfter, shared_state_.closer);
    }
  } catch (const Poco::Exception& e) {
    Log(log_level::kInfo, "connection-lost", {{"detail", e.displayText()}});
  }
}

// The close resets connections that nobody has accepted. With a queue of one,
// the kernel leaves others without a connection instead.
void front_server::ClosePort() {
  StopAccepting();
  if (is_port_closed_)
    return;
  socket_.listen(0);
  RefuseWaiting(std::chrono::steady_clock::now() + kMaxRefuseTime);
  socket_.close();
  is_port_closed_ = true;
}

void front_server::Close(time_point deadline) {
  ClosePort();
  while ((connections() > 0 || shared_state_.closer.open() > 0) &&
         std::chrono::steady_clock::now() < deadline)
    std::this_thread::sleep_for(kClosePollInterval);
}

int front_server::refused_while_leaving() const {
  return shared_state_.refused_while_leaving;
}

int front_server::connections() const {
  return server_->currentConnections();
}

std::string front_server::address() const {
  return socket_.address().toString();
}

}  // namespace samphire
