#include "platform_adapter/digest_target.h"

#include <Poco/Exception.h>
#include <Poco/String.h>
#include <Poco/Timespan.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <stdexcept>
#include <utility>

namespace samphire::platform {

namespace {

// Interval at which threads check whether they are to end, in microseconds.
constexpr Poco::Timespan::TimeDiff kStopCheckUs = 20'000;
constexpr std::size_t kReadBytes = 16'384;

}  // namespace

std::uint64_t DigestOf(const std::string& bytes) {
  constexpr std::uint64_t kOffset = 14695981039346656037U;
  constexpr std::uint64_t kPrime = 1099511628211U;
  std::uint64_t digest = kOffset;
  for (const char byte : bytes)
    digest = (digest ^ static_cast<unsigned char>(byte)) * kPrime;
  return digest;
}

// One connection. Every read throws if the connection ends or is to be closed
// first.
class digest_target::connection {
 public:
  connection(digest_target& target,
             const Poco::Net::StreamSocket& socket,
             const std::stop_token& stop)
      : target_(target), socket_(socket), stop_(stop) {}

  // Returns false if the connection ended before another request began.
  bool ReadHead() {
    headers_.clear();
    body_.clear();
    if (buffer_.empty() && !Fill())
      return false;
    ReadLine();
    for (auto line = ReadLine(); !line.empty(); line = ReadLine()) {
      const auto colon = line.find(':');
      headers_[Poco::toLower(line.substr(0, colon))] =
          Poco::trim(line.substr(colon + 1));
    }
    return true;
  }
  void ReadBody() {
    if (Header("transfer-encoding") == "chunked")
      ReadChunks();
    else if (!Header("content-length").empty())
      Take(std::stoull(Header("content-length")));
  }
  void Respond(const std::string& response) {
    socket_.sendBytes(response.data(), static_cast<int>(response.size()));
  }
  std::string Header(const std::string& name) { return headers_[name]; }
  const std::string& body() const { return body_; }

 private:
  bool Fill() {
    while (!socket_.poll(Poco::Timespan(kStopCheckUs),
                         Poco::Net::Socket::SELECT_READ)) {
      if (stop_.stop_requested())
        return false;
    }
    std::array<char, kReadBytes> bytes{};
    const int got =
        socket_.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
    if (got <= 0)
      return false;
    buffer_.append(bytes.data(), static_cast<std::size_t>(got));
    return true;
  }
  void Need() {
    if (buffer_.empty() && !Fill())
      throw std::runtime_error("the connection ended within a request");
  }
  std::string ReadLine() {
    std::string line;
    while (line.empty() || line.back() != '\n') {
      Need();
      line.push_back(buffer_.front());
      buffer_.erase(0, 1);
    }
    line.resize(line.size() - (line.ends_with("\r\n") ? 2 : 1));
    return line;
  }
  void ReadChunks() {
    while (true) {
      const auto size = std::stoull(ReadLine(), nullptr, 16);
      Take(size);
      if (!ReadLine().empty())
        throw std::runtime_error("a chunk has no end");
      if (size == 0)
        return;
    }
  }
  // Moves bytes from the connection to the body.
  void Take(std::size_t count) {
    while (count > 0) {
      Need();
      const auto part = std::min(count, buffer_.size());
      body_.append(buffer_, 0, part);
      buffer_.erase(0, part);
      count -= part;
      const auto limit = target_.closes_after.load();
      if (limit >= 0 && body_.size() >= static_cast<std::size_t>(limit))
        throw std::runtime_error("the connection is to be closed");
    }
  }

  digest_target& target_;
  Poco::Net::StreamSocket socket_;
  const std::stop_token stop_;
  std::string buffer_;
  std::map<std::string, std::string> headers_;
  std::string body_;
};

digest_target::digest_target(std::string id)
    : id_(std::move(id)),
      listener_(Poco::Net::SocketAddress("127.0.0.1:0")),
      address_(listener_.address().toString()),
      acceptor_([this](const std::stop_token& stop) { AcceptAll(stop); }) {}

digest_target::~digest_target() {
  StopListening();
}

void digest_target::StopListening() {
  acceptor_ = std::jthread();
  listener_.close();
}

std::vector<digested_run> digest_target::runs() const {
  std::lock_guard guard(lock_);
  return runs_;
}

void digest_target::AcceptAll(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    if (!listener_.poll(Poco::Timespan(kStopCheckUs),
                        Poco::Net::Socket::SELECT_READ))
      continue;
    auto socket = listener_.acceptConnection();
    std::lock_guard guard(lock_);
    connections_.emplace_back(
        [this, socket](const std::stop_token& end) { Serve(socket, end); });
  }
}

void digest_target::Serve(Poco::Net::StreamSocket socket,
                          const std::stop_token& stop) {
  connection peer(*this, socket, stop);
  try {
    while (peer.ReadHead()) {
      if (closes_after == 0)
        throw std::runtime_error("the connection is to be closed");
      peer.ReadBody();
      peer.Respond(Run(peer.Header("request-id"),
                       peer.Header("target-instance"), peer.body()));
    }
  } catch (const Poco::Exception&) {
    ++cut_bodies;
  } catch (const std::exception&) {
    ++cut_bodies;
  }
  socket.close();
}

std::string digest_target::Run(const std::string& id,
                               const std::string& expected_target,
                               const std::string& body) {
  constexpr auto kResponse =
      "HTTP/1.1 {}\r\nRequest-Id: {}\r\n{}Content-Length: 0\r\n\r\n";
  if (expected_target != id_)
    return fmt::format(kResponse, "421 Misdirected Request", id, "");
  if (refuses) {
    return fmt::format(kResponse, "503 Service Unavailable", id,
                       "Not-Executed: 1\r\n");
  }
  {
    std::lock_guard guard(lock_);
    runs_.push_back({id, body.size(), DigestOf(body)});
  }
  return fmt::format(kResponse, "200 OK", id,
                     "Server-Stamp: stamp." + id_ + "\r\n");
}

}  // namespace samphire::platform
