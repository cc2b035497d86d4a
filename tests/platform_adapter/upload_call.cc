#include "platform_adapter/upload_call.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string_view>

#include "platform_adapter/wire_text.h"

namespace samphire::platform {

namespace {

// Of a size that no buffer of an entry is a multiple of.
constexpr std::size_t kSegmentBytes = 7'001;
constexpr int kResponseSeconds = 10;

void Send(Poco::Net::StreamSocket& socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const int sent =
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
}

// Returns false if the caller left within the body.
bool SendBody(Poco::Net::StreamSocket& socket, const upload_call& call) {
  const auto body = BodyOf(call);
  const auto end = call.leaves_after < 0
                       ? body.size()
                       : static_cast<std::size_t>(call.leaves_after);
  const bool chunks = call.framing == upload_framing::kChunks;
  for (std::size_t at = 0; at < end; at += kSegmentBytes) {
    const auto part = body.substr(at, std::min(kSegmentBytes, end - at));
    Send(socket,
         chunks ? fmt::format("{:x}\r\n{}\r\n", part.size(), part) : part);
  }
  if (call.leaves_after >= 0) {
    Send(socket, call.breaks_off_with);
    return call.waits;
  }
  if (chunks)
    Send(socket, "0\r\n\r\n");
  return true;
}

std::string ReadHead(Poco::Net::StreamSocket& socket) {
  std::string head;
  std::array<char, 1024> buffer{};
  while (head.find("\r\n\r\n") == std::string::npos) {
    const int got =
        socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
    if (got <= 0)
      return {};
    head.append(buffer.data(), static_cast<std::size_t>(got));
  }
  return head;
}

}  // namespace

std::string BodyOf(const upload_call& call) {
  std::string body;
  while (body.size() < call.bytes)
    body += fmt::format("{} byte {}\n", call.id, body.size());
  body.resize(call.bytes);
  return body;
}

int SendUpload(const std::string& address,
               const upload_call& call,
               std::string* stamp) {
  try {
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
    socket.setReceiveTimeout(Poco::Timespan(kResponseSeconds, 0));
    Send(socket,
         fmt::format("POST {} HTTP/1.1\r\nHost: h.example\r\n"
                     "Request-Id: {}\r\nAffinity-Key: {}\r\n"
                     "Request-Deadline: {}\r\n{}{}\r\n\r\n",
                     call.path, call.id, call.affinity_key, call.deadline_ms,
                     call.lines,
                     call.framing == upload_framing::kChunks
                         ? "Transfer-Encoding: chunked"
                         : fmt::format("Content-Length: {}", call.bytes)));
    if (!SendBody(socket, call))
      return 0;
    const auto head = ReadHead(socket);
    if (stamp != nullptr)
      *stamp = HeaderOf(head, "Server-Stamp");
    constexpr std::size_t kStatusAt = 9;
    return head.size() < kStatusAt ? 0 : std::stoi(head.substr(kStatusAt, 3));
  } catch (const Poco::Exception&) {
    return 0;
  }
}

}  // namespace samphire::platform
