#include "worker.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

#include "loopback.h"

namespace review {

namespace {

using namespace std::chrono_literals;

// Time for which an idle connection stays open.
constexpr auto kIdleTimeout = 10s;
// Interval at which a run checks whether its connection was closed.
constexpr auto kCheckInterval = 2ms;
constexpr int kAcceptPollMs = 20;
constexpr std::uint64_t kDigestBasis = 14695981039346656037U;
constexpr std::uint64_t kDigestPrime = 1099511628211U;

}  // namespace

std::uint64_t DigestOf(const std::string& body) {
  auto digest = kDigestBasis;
  for (const unsigned char byte : body)
    digest = (digest ^ byte) * kDigestPrime;
  return digest;
}

worker::worker(std::string id,
               std::string service,
               std::string zone,
               record& events,
               work_time work)
    : id_(std::move(id)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      address_(fmt::format("127.0.0.1:{}", FreePort("127.0.0.1"))),
      events_(events),
      work_(std::move(work)),
      listener_(Listen(address_)),
      acceptor_([this] { Accept(); }) {}

worker::~worker() {
  Crash();
  for (auto& each : sessions_)
    each.thread.join();
}

std::string worker::Object(const std::string& state) const {
  return fmt::format(
      R"({{"address":"{}","info":{{"service":"{}","version":"v1",)"
      R"("zone":"{}","slots":4}},"status":{{"state":"{}","seq":{},)"
      R"("coldLeft":"0ms"}}}})",
      address_, service_, zone_, state, state == "ready" ? 1 : 2);
}

void worker::Crash() {
  if (ended_.exchange(true))
    return;
  acceptor_.join();
  close(listener_);
  std::lock_guard guard(lock_);
  for (auto& each : sessions_)
    each.connection->Shutdown();
}

std::vector<run> worker::runs() {
  std::lock_guard guard(lock_);
  return runs_;
}

void worker::Accept() {
  while (!ended_) {
    pollfd entry{listener_, POLLIN, 0};
    if (poll(&entry, 1, kAcceptPollMs) <= 0)
      continue;
    const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0)
      continue;
    std::lock_guard guard(lock_);
    auto& added = sessions_.emplace_back();
    added.connection = std::make_unique<http_connection>(descriptor);
    added.thread = std::thread([this, &added] { Serve(*added.connection); });
  }
}

void worker::Serve(http_connection& connection) {
  while (!ended_) {
    const auto request = connection.Receive(kIdleTimeout);
    if (!request || !request->complete)
      break;
    if (request->Get("target-instance") != id_) {
      connection.Send(
          "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
      continue;
    }
    if (!Run(*request, connection) || !connection.Send(Respond(*request)))
      break;
  }
  connection.Shutdown();
}

bool worker::Run(const http_message& request,
                 const http_connection& connection) {
  const run started{.request_id = request.Get("request-id"),
                    .worker = id_,
                    .body_bytes = request.body.size(),
                    .body_digest = DigestOf(request.body)};
  {
    std::lock_guard guard(lock_);
    runs_.push_back(started);
  }
  events_.Write(
      fmt::format("run       {} at {}: \"{}\", body of {} bytes, "
                  "digest {:016x}",
                  started.request_id, id_, request.first_line,
                  started.body_bytes, started.body_digest));
  const auto end = std::chrono::steady_clock::now() + work_(request);
  while (std::chrono::steady_clock::now() < end) {
    if (ended_ || connection.IsClosedByPeer()) {
      events_.Write(fmt::format("cut       {} at {}: its connection was closed",
                                started.request_id, id_));
      return false;
    }
    std::this_thread::sleep_for(kCheckInterval);
  }
  events_.Write(fmt::format("done      {} at {}", started.request_id, id_));
  return true;
}

std::string worker::Respond(const http_message& request) const {
  const auto body =
      fmt::format("{} received {} bytes", id_, request.body.size());
  return fmt::format(
      "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Stamp: {}.{:016x}\r\n"
      "Server-Load: 1,0,4\r\nContent-Length: {}\r\n\r\n{}",
      request.Get("request-id"), id_, DigestOf(body), body.size(), body);
}

}  // namespace review
