#include "http_link.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdint>
#include <cstdlib>
#include <set>
#include <stdexcept>

namespace review {

namespace {

constexpr std::size_t kReadBytes = 16384;
constexpr int kDefaultTimeoutMs = 10'000;
constexpr int kHexadecimal = 16;

sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

std::uint16_t PortOf(const std::string& address) {
  return static_cast<std::uint16_t>(
      std::atoi(address.substr(address.find(':') + 1).c_str()));
}

int BindAny(int type, std::uint16_t port) {
  const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const int yes = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
  auto address = LoopbackAddress(port);
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
      0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

std::uint16_t BoundPort(int descriptor) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

std::string AddressOf(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

bool IsToken(const std::string& name) {
  static const std::string marks = "!#$%&'*+-.^_`|~";
  return !name.empty() && std::ranges::all_of(name, [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
           marks.find(c) != std::string::npos;
  });
}

std::string Trimmed(const std::string& text) {
  const auto first = text.find_first_not_of(" \t");
  if (first == std::string::npos)
    return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

http_message ParseHead(const std::string& head) {
  http_message message;
  std::size_t from = 0;
  while (from < head.size()) {
    const auto end = head.find("\r\n", from);
    const auto line = head.substr(from, end - from);
    from = end + 2;
    if (message.start_line.empty()) {
      message.start_line = line;
      continue;
    }
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    if (colon == std::string::npos || !IsToken(name)) {
      message.well_formed = false;
      continue;
    }
    message.headers.emplace_back(name, Trimmed(line.substr(colon + 1)));
  }
  return message;
}

}  // namespace

std::string HeaderOf(const header_list& headers, const std::string& name) {
  for (const auto& [known, value] : headers) {
    if (strcasecmp(known.c_str(), name.c_str()) == 0)
      return value;
  }
  return {};
}

http_link::http_link(int descriptor) : descriptor_(descriptor) {
  const int yes = 1;
  setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
  SetTimeout(kDefaultTimeoutMs);
}

http_link::~http_link() {
  if (descriptor_ >= 0)
    close(descriptor_);
}

http_link::http_link(http_link&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)),
      buffer_(std::move(other.buffer_)),
      ended_(other.ended_) {}

http_link& http_link::operator=(http_link&& other) noexcept {
  std::swap(descriptor_, other.descriptor_);
  std::swap(buffer_, other.buffer_);
  std::swap(ended_, other.ended_);
  return *this;
}

std::optional<http_link> http_link::Open(const std::string& address) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto to = LoopbackAddress(PortOf(address));
  if (connect(descriptor, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
    close(descriptor);
    return std::nullopt;
  }
  return http_link(descriptor);
}

void http_link::SetTimeout(int timeout_ms) const {
  constexpr std::int64_t kMs = 1000;
  const timeval time{.tv_sec = timeout_ms / kMs,
                     .tv_usec = timeout_ms % kMs * kMs};
  setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

void http_link::EndSending() const {
  shutdown(descriptor_, SHUT_WR);
}

bool http_link::Send(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto count = send(descriptor_, bytes.data() + sent,
                            bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool http_link::Fill() {
  std::array<char, kReadBytes> bytes{};
  const auto count = recv(descriptor_, bytes.data(), bytes.size(), 0);
  ended_ = count == 0;
  if (count <= 0)
    return false;
  buffer_.append(bytes.data(), static_cast<std::size_t>(count));
  return true;
}

std::optional<std::string> http_link::TakeHead() {
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill())
      return std::nullopt;
  }
  auto head = buffer_.substr(0, end + 2);
  buffer_.erase(0, end + 4);
  return head;
}

std::optional<std::string> http_link::TakeBytes(std::size_t count) {
  while (buffer_.size() < count) {
    if (!Fill())
      return std::nullopt;
  }
  auto bytes = buffer_.substr(0, count);
  buffer_.erase(0, count);
  return bytes;
}

std::optional<std::string> http_link::TakeLine() {
  std::size_t end = 0;
  while ((end = buffer_.find("\r\n")) == std::string::npos) {
    if (!Fill())
      return std::nullopt;
  }
  auto line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return line;
}

std::optional<std::string> http_link::TakeChunks() {
  std::string body;
  while (true) {
    const auto line = TakeLine();
    if (!line)
      return std::nullopt;
    const auto size = std::strtoul(line->c_str(), nullptr, kHexadecimal);
    const auto chunk = TakeBytes(size);
    if (!chunk || !TakeLine())
      return std::nullopt;
    if (size == 0)
      return body;
    body += *chunk;
  }
}

std::optional<std::string> http_link::TakeAll() {
  while (Fill()) {
  }
  if (!ended_)
    return std::nullopt;
  return std::exchange(buffer_, {});
}

std::optional<http_message> http_link::Read(int timeout_ms) {
  SetTimeout(timeout_ms);
  const auto head = TakeHead();
  if (!head)
    return std::nullopt;
  auto message = ParseHead(*head);
  const auto length = HeaderOf(message.headers, "Content-Length");
  const bool is_response = message.start_line.starts_with("HTTP/");
  std::optional<std::string> body;
  if (!HeaderOf(message.headers, "Transfer-Encoding").empty())
    body = TakeChunks();
  else if (!length.empty())
    body = TakeBytes(std::strtoul(length.c_str(), nullptr, 10));
  else if (is_response)
    body = TakeAll();
  else
    body = std::string();
  if (!body)
    return std::nullopt;
  message.body = std::move(*body);
  return message;
}

http_listener::http_listener(std::function<void(http_link)> serve)
    : serve_(std::move(serve)), descriptor_(BindAny(SOCK_STREAM, 0)) {
  constexpr int kBacklog = 256;
  if (descriptor_ < 0 || listen(descriptor_, kBacklog) != 0)
    throw std::runtime_error("no free port");
  address_ = AddressOf(BoundPort(descriptor_));
  thread_ = std::thread([this] { Run(); });
}

http_listener::~http_listener() {
  shutdown(descriptor_, SHUT_RDWR);
  thread_.join();
  close(descriptor_);
  {
    std::lock_guard guard(lock_);
    for (const int each : open_)
      shutdown(each, SHUT_RDWR);
  }
  for (auto& each : serving_)
    each.join();
}

void http_listener::Run() {
  while (true) {
    const int descriptor = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0)
      return;
    serving_.emplace_back([this, descriptor] { ServeOne(descriptor); });
  }
}

// The connection's own descriptor is closed by whoever serves it, and its
// number may then be used again.
void http_listener::ServeOne(int descriptor) {
  const int second = fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
  {
    std::lock_guard guard(lock_);
    open_.insert(second);
  }
  serve_(http_link(descriptor));
  std::lock_guard guard(lock_);
  open_.erase(second);
  close(second);
}

std::string FreeAddress() {
  static std::set<std::uint16_t> given;
  while (true) {
    const int stream = BindAny(SOCK_STREAM, 0);
    const auto port = BoundPort(stream);
    const int datagrams = BindAny(SOCK_DGRAM, port);
    close(stream);
    if (datagrams < 0)
      continue;
    close(datagrams);
    if (given.insert(port).second)
      return AddressOf(port);
  }
}

}  // namespace review
