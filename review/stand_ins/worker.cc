#include "worker.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace review {

namespace {

using namespace std::chrono_literals;

// Time for which an idle connection stays open.
constexpr auto kIdleTimeout = 10s;
// Interval at which a run checks whether its connection was closed.
constexpr auto kCheckInterval = 2ms;
constexpr int kAcceptPollMs = 20;
constexpr std::size_t kAnswerBytes = 400;
// Lines of the head after which answers are broken off, in turn: from the
// second one on, which is the first header.
constexpr int kFirstLine = 2;
constexpr int kBrokenLines = 3;
constexpr std::uint64_t kDigestBasis = 14695981039346656037U;
constexpr std::uint64_t kDigestPrime = 1099511628211U;

}  // namespace

std::uint64_t DigestOf(const std::string& body) {
  auto digest = kDigestBasis;
  for (const unsigned char byte : body)
    digest = (digest ^ byte) * kDigestPrime;
  return digest;
}

std::string AnswerBody(const std::string& request_id) {
  std::string body = "answer to " + request_id + "\n";
  while (body.size() < kAnswerBytes)
    body += fmt::format("line at byte {}\n", body.size());
  return body;
}

worker::worker(std::string id,
               std::string service,
               std::string zone,
               record& events,
               work_time work)
    : id_(std::move(id)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      listener_(ListenAnywhere()),
      events_(events),
      work_(std::move(work)),
      acceptor_([this] { Accept(); }) {}

worker::~worker() {
  Crash();
  while (true) {
    {
      std::lock_guard guard(lock_);
      if (connections_.empty())
        break;
    }
    std::this_thread::sleep_for(kCheckInterval);
  }
  // The last thread may still have to release the lock.
  std::this_thread::sleep_for(kCheckInterval);
}

std::string worker::Object(const std::string& state) const {
  return fmt::format(
      R"({{"address":"{}","info":{{"service":"{}","version":"v1",)"
      R"("zone":"{}","slots":4}},"status":{{"state":"{}","seq":{},)"
      R"("coldLeft":"0ms"}}}})",
      listener_.address, service_, zone_, state, state == "ready" ? 1 : 2);
}

void worker::Crash() {
  if (ended_.exchange(true))
    return;
  acceptor_.join();
  close(listener_.descriptor);
  std::lock_guard guard(lock_);
  for (const auto& each : connections_)
    each->Shutdown();
}

std::vector<run> worker::runs() {
  std::lock_guard guard(lock_);
  return runs_;
}

void worker::Accept() {
  while (!ended_) {
    pollfd entry{listener_.descriptor, POLLIN, 0};
    if (poll(&entry, 1, kAcceptPollMs) <= 0)
      continue;
    const int descriptor =
        accept4(listener_.descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0)
      continue;
    std::lock_guard guard(lock_);
    const auto added = connections_.insert(
        connections_.end(), std::make_shared<http_connection>(descriptor));
    std::thread([this, added] {
      Serve(**added);
      std::lock_guard ended(lock_);
      connections_.erase(added);
    }).detach();
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
    if (!Run(*request, connection) ||
        !SendAnswer(request->Get("request-id"), Respond(*request), connection))
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
  const auto body = AnswerBody(request.Get("request-id"));
  return fmt::format(
      "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Stamp: {}.{:016x}\r\n"
      "Server-Load: 1,0,4\r\n{}\r\nContent-Length: {}\r\n\r\n{}",
      request.Get("request-id"), id_, DigestOf(body),
      leaving_ ? "Connection: close" : "Keep-Alive: timeout=10", body.size(),
      body);
}

bool worker::SendAnswer(const std::string& request_id,
                        const std::string& answer,
                        const http_connection& connection) {
  const int one_in = break_off_one_in_;
  if (one_in == 0 || ++answers_ % one_in != 0)
    return connection.Send(answer) && !leaving_;
  const int lines = kFirstLine + broken_off_++ % kBrokenLines;
  std::size_t end = 0;
  for (int i = 0; i < lines; ++i)
    end = answer.find("\r\n", end) + 2;
  events_.Write(fmt::format("broke off {} at {} after {} lines of the head",
                            request_id, id_, lines));
  connection.Send(answer.substr(0, end));
  return false;
}

}  // namespace review
