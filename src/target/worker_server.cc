#include "worker_server.h"

#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketImpl.h>

#include <cstdlib>
#include <functional>
#include <utility>

#include "worker_handler.h"

namespace samphire {

namespace {

// Limit of connections, threads and queued connections per target. Connections
// are few and long-lived, because entries keep them open.
constexpr int kMaxConnections = 350;
// How long an idle connection stays open.
constexpr int kKeepAliveSeconds = 60;
// The exit code that a shell reports for a process that called abort().
constexpr int kCrashExitCode = 134;

class handler_factory final : public Poco::Net::HTTPRequestHandlerFactory {
 public:
  handler_factory(worker& worker, std::function<void()> crash)
      : worker_(worker), crash_(std::move(crash)) {}
  Poco::Net::HTTPRequestHandler* createRequestHandler(
      const Poco::Net::HTTPServerRequest&) override {
    return new worker_handler(worker_, crash_);
  }

 private:
  worker& worker_;
  std::function<void()> crash_;
};

}  // namespace

worker_server::worker_server(worker& worker, Poco::ThreadPool& threads)
    : worker_(worker), threads_(threads), address_(worker.identity().address) {
  server_ = Listen();
  restarter_ = std::thread([this] { RestartAfterCrashes(); });
}

worker_server::~worker_server() {
  Stop();
}

void worker_server::Stop() {
  if (!restarter_.joinable())
    return;
  {
    std::lock_guard guard(lock_);
    stopping_ = true;
  }
  changed_.notify_all();
  restarter_.join();
  if (server_)
    server_->stopAll(true);
}

std::unique_ptr<Poco::Net::HTTPServer> worker_server::Listen() {
  Poco::Net::ServerSocket socket;
  listener_ = socket;
  socket.bind(Poco::Net::SocketAddress(address_), true);
  socket.listen(kMaxConnections);
  address_ = socket.address().toString();
  Poco::AutoPtr<Poco::Net::HTTPServerParams> params =
      new Poco::Net::HTTPServerParams;
  params->setMaxThreads(kMaxConnections);
  params->setMaxQueued(kMaxConnections);
  params->setKeepAlive(true);
  params->setKeepAliveTimeout(Poco::Timespan(kKeepAliveSeconds, 0));
  auto server = std::make_unique<Poco::Net::HTTPServer>(
      new handler_factory(worker_, [this] { Crash(); }), threads_, socket,
      params);
  server->start();
  return server;
}

void worker_server::Crash() {
  if (worker_.behavior().crash_exits)
    std::_Exit(kCrashExitCode);
  worker_.Crash();
  // The server's thread takes up to a quarter of a second to stop. Connections
  // are refused from now on, as the kernel does for a process that has exited.
  listener_.impl()->shutdownReceive();
  {
    std::lock_guard guard(lock_);
    crashed_ = true;
  }
  changed_.notify_all();
}

// Runs on a thread of its own: the handler that triggered the crash runs on a
// thread of the server, which can't stop the server itself.
void worker_server::RestartAfterCrashes() {
  std::unique_lock guard(lock_);
  while (!stopping_) {
    changed_.wait(guard, [this] { return crashed_ || stopping_; });
    if (stopping_)
      return;
    guard.unlock();
    server_->stopAll(true);
    server_.reset();
    guard.lock();
    changed_.wait_for(guard, worker_.behavior().restart_time,
                      [this] { return stopping_; });
    if (stopping_)
      return;
    crashed_ = false;
    worker_.Restart();
    server_ = Listen();
  }
}

}  // namespace samphire
