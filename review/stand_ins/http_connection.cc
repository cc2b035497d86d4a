#include "http_connection.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>

#include "loopback.h"

namespace review {

namespace {

constexpr int kHexadecimalBase = 16;
constexpr int kConnectTimeoutMs = 1000;
constexpr std::size_t kReadBytes = std::size_t{64} << 10U;

std::string Lower(std::string text) {
  std::ranges::transform(text, text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

}  // namespace

std::string http_message::Get(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

int http_message::status() const {
  if (!first_line.starts_with("HTTP/1.1 "))
    return 0;
  return std::atoi(first_line.c_str() + first_line.find(' '));
}

http_connection::http_connection(int descriptor) : descriptor_(descriptor) {
  const int on = 1;
  if (is_open())
    setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

http_connection::~http_connection() {
  if (is_open())
    close(descriptor_);
}

int http_connection::Open(const std::string& address) {
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const auto to = SocketAddress(address);
  const int connected =
      connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  int failure = connected == 0 ? 0 : errno;
  pollfd entry{descriptor, POLLOUT, 0};
  socklen_t size = sizeof(failure);
  if (failure == EINPROGRESS && poll(&entry, 1, kConnectTimeoutMs) > 0)
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &size);
  if (failure == 0) {
    fcntl(descriptor, F_SETFL, 0);
    return descriptor;
  }
  close(descriptor);
  return -1;
}

bool http_connection::Send(const std::string& bytes) const {
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

std::optional<http_message> http_connection::Receive(
    std::chrono::milliseconds timeout) {
  deadline_ = std::chrono::steady_clock::now() + timeout;
  http_message message;
  const auto first = ReadLine();
  if (!first)
    return std::nullopt;
  message.first_line = *first;
  while (true) {
    const auto line = ReadLine();
    if (!line)
      return std::nullopt;
    if (line->empty())
      break;
    const auto colon = line->find(':');
    if (colon == std::string::npos)
      return std::nullopt;
    const auto value = line->find_first_not_of(' ', colon + 1);
    message.headers[Lower(line->substr(0, colon))] =
        value == std::string::npos ? std::string() : line->substr(value);
  }
  message.complete = ReadBody(message);
  return message;
}

bool http_connection::ReadBody(http_message& message) {
  if (Lower(message.Get("transfer-encoding")) == "chunked")
    return ReadChunkedBody(message);
  const auto length = message.Get("content-length");
  if (!length.empty())
    return ReadBytes(std::strtoull(length.c_str(), nullptr, 10), message.body);
  if (message.status() == 0)
    return true;
  while (Fill()) {
  }
  message.body = std::move(buffer_);
  return true;
}

bool http_connection::ReadChunkedBody(http_message& message) {
  while (true) {
    const auto head = ReadLine();
    if (!head || head->empty())
      return false;
    const auto size = std::strtoull(head->c_str(), nullptr, kHexadecimalBase);
    if (!ReadBytes(size, message.body))
      return false;
    const auto end = ReadLine();
    if (!end)
      return false;
    if (size == 0)
      return true;
  }
}

std::optional<std::string> http_connection::ReadLine() {
  auto end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill())
      return std::nullopt;
    end = buffer_.find("\r\n");
  }
  auto line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return line;
}

bool http_connection::ReadBytes(std::size_t count, std::string& to) {
  while (count > 0) {
    if (buffer_.empty() && !Fill())
      return false;
    const auto taken = std::min(count, buffer_.size());
    to.append(buffer_, 0, taken);
    buffer_.erase(0, taken);
    count -= taken;
  }
  return true;
}

bool http_connection::Fill() {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline_ - std::chrono::steady_clock::now());
  pollfd entry{descriptor_, POLLIN, 0};
  if (left.count() <= 0 || poll(&entry, 1, static_cast<int>(left.count())) <= 0)
    return false;
  std::string bytes(kReadBytes, '\0');
  const auto count = recv(descriptor_, bytes.data(), bytes.size(), 0);
  if (count <= 0)
    return false;
  buffer_.append(bytes, 0, static_cast<std::size_t>(count));
  return true;
}

bool http_connection::IsClosedByPeer() const {
  pollfd entry{descriptor_, POLLRDHUP, 0};
  return poll(&entry, 1, 0) > 0;
}

void http_connection::Shutdown() const {
  shutdown(descriptor_, SHUT_RDWR);
}

}  // namespace review
