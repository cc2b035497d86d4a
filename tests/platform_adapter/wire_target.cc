#include "platform_adapter/wire_target.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <fmt/format.h>

#include <chrono>
#include <thread>
#include <utility>

#include "proxy/caller_watch.h"
#include "traffic/handler_factory.h"

namespace samphire::platform {

namespace {

// Interval at which a request that hangs checks whether its connection was
// closed, in microseconds.
constexpr Poco::Timespan::TimeDiff kCallerCheckIntervalUs = 5000;

// Bounds the connections that a target serves, each with a thread. Those that a
// cut holds open count as well.
constexpr int kMaxConnections = 512;
// Interval at which a run checks whether the target has crashed.
constexpr std::chrono::milliseconds kCrashCheckInterval{1};

class target_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  explicit target_handler(wire_target& target) : target_(target) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const auto rest = target_.RestOf(request.clientAddress().toString());
    const auto behavior = target_.behavior.load();
    if (behavior == target_behavior::kForgetRestedConnection && rest &&
        rest->count() >= target_.forget_after_ms) {
      static_cast<Poco::Net::HTTPServerRequestImpl&>(request)
          .socket()
          .shutdown();
      return;
    }
    ++target_.arrivals;
    target_.CountArrival(request.get("Request-Id", ""));
    std::string body;
    Poco::StreamCopier::copyToString(request.stream(), body);
    response.set("Request-Id", request.get("Request-Id", ""));
    if (const double limit = target_.rate_limit; limit >= 0)
      response.set("Server-Limit", fmt::format("{}", limit));
    if (target_.leaving)
      response.set("Server-Leaving", "1");
    if (request.get("Target-Instance", "") != target_.id() ||
        behavior == target_behavior::kWrongInstance) {
      Send(response, 421, "");
    } else if (behavior == target_behavior::kShed) {
      response.set("Not-Executed", "1");
      if (const int pause = target_.pause_s; pause > 0)
        response.set("Retry-After", std::to_string(pause));
      Send(response, 503, "");
    } else {
      ++target_.runs;
      target_.CountRun(request.get("Request-Id", ""));
      target_.SetLastHeaders({request.begin(), request.end()});
      const bool crashes =
          !target_.crash_path.empty() && request.getURI() == target_.crash_path;
      const bool alive = !crashes && Work();
      if (crashes)
        ++target_.crashes;
      Run(alive ? BehaviorOn(rest.has_value())
                : target_behavior::kCloseWithoutResponse,
          request, response, body);
    }
  }

 private:
  // Returns how to treat a request on a connection that carried one before, or
  // not.
  target_behavior BehaviorOn(bool kept) const {
    const auto behavior = target_.behavior.load();
    const bool only_kept = behavior == target_behavior::kCloseKeptConnection ||
                           behavior == target_behavior::kResetKeptConnection;
    if (only_kept && !kept)
      return target_behavior::kServe;
    return behavior == target_behavior::kCloseKeptConnection
               ? target_behavior::kCloseWithoutResponse
               : behavior;
  }
  // Takes the time of a run. Returns false if the target crashes meanwhile.
  bool Work() const {
    const int crashes_before = target_.crashes;
    const auto end = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(target_.work_ms.load());
    while (std::chrono::steady_clock::now() < end &&
           target_.crashes == crashes_before)
      std::this_thread::sleep_for(kCrashCheckInterval);
    return target_.crashes == crashes_before;
  }

  static void Send(Poco::Net::HTTPServerResponse& response,
                   int status,
                   const std::string& body) {
    response.setStatus(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.sendBuffer(body.data(), body.size());
  }

  void Run(target_behavior behavior,
           Poco::Net::HTTPServerRequest& request,
           Poco::Net::HTTPServerResponse& response,
           const std::string& body) {
    auto socket =
        static_cast<Poco::Net::HTTPServerRequestImpl&>(request).socket();
    if (behavior == target_behavior::kCloseWithoutResponse) {
      socket.shutdown();
      return;
    }
    if (behavior == target_behavior::kResetKeptConnection) {
      socket.setLinger(true, 0);
      socket.close();
      return;
    }
    const caller_watch entry_watch(socket);
    while (behavior == target_behavior::kHang &&
           !entry_watch.IsDisconnected() && !target_.stopping)
      socket.poll(Poco::Timespan(kCallerCheckIntervalUs),
                  Poco::Net::Socket::SELECT_ERROR);
    if (behavior == target_behavior::kHang) {
      ++target_.cancelled;
      return;
    }
    response.set("Server-Stamp", "stamp." + target_.id());
    response.set("Server-Load", "1,0,4");
    Send(response, behavior == target_behavior::kRespondWithError ? 500 : 200,
         request.getMethod() + " " + request.getURI() + " " + body);
  }

  wire_target& target_;
};

}  // namespace

wire_target::wire_target(std::string id)
    : id_(std::move(id)), threads_(2, kMaxConnections) {
  Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1:0"));
  Poco::Net::HTTPServerParams::Ptr params = new Poco::Net::HTTPServerParams;
  params->setMaxThreads(kMaxConnections);
  server_ = std::make_unique<Poco::Net::HTTPServer>(
      new handler_factory([this](const Poco::Net::HTTPServerRequest&) {
        return new target_handler(*this);
      }),
      threads_, socket, params);
  server_->start();
}

wire_target::~wire_target() {
  stopping = true;
  server_->stopAll(true);
  threads_.joinAll();
}

std::map<std::string, int> wire_target::runs_by_id() const {
  std::lock_guard guard(lock_);
  return runs_by_id_;
}

void wire_target::CountRun(const std::string& id) {
  std::lock_guard guard(lock_);
  ++runs_by_id_[id];
}

std::multimap<std::string, std::chrono::steady_clock::time_point>
wire_target::arrivals_by_id() const {
  std::lock_guard guard(lock_);
  return arrivals_by_id_;
}

void wire_target::CountArrival(const std::string& id) {
  std::lock_guard guard(lock_);
  arrivals_by_id_.emplace(id, std::chrono::steady_clock::now());
}

std::optional<std::chrono::milliseconds> wire_target::RestOf(
    const std::string& client) {
  const auto now = std::chrono::steady_clock::now();
  std::lock_guard guard(lock_);
  const auto [last, is_first] = last_requests_.try_emplace(client, now);
  const auto rest = now - std::exchange(last->second, now);
  if (is_first)
    return std::nullopt;
  return std::chrono::duration_cast<std::chrono::milliseconds>(rest);
}

std::map<std::string, std::string> wire_target::last_headers() const {
  std::lock_guard guard(lock_);
  return last_headers_;
}

void wire_target::SetLastHeaders(std::map<std::string, std::string> headers) {
  std::lock_guard guard(lock_);
  last_headers_ = std::move(headers);
}

std::string wire_target::address() const {
  return server_->socket().address().toString();
}

}  // namespace samphire::platform
