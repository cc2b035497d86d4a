#include "platform_adapter/scripted_target.h"

#include <Poco/Exception.h>
#include <Poco/Timespan.h>

#include <array>
#include <utility>

#include "platform_adapter/wire_text.h"

namespace samphire::platform {

namespace {

// Interval at which threads check whether they are to end, in microseconds.
constexpr Poco::Timespan::TimeDiff kStopCheckUs = 20'000;

std::string Replace(std::string text,
                    const std::string& what,
                    const std::string& by) {
  for (auto at = text.find(what); at != std::string::npos;
       at = text.find(what, at + by.size()))
    text.replace(at, what.size(), by);
  return text;
}

void SendAll(Poco::Net::StreamSocket& socket, const std::string& bytes) {
  for (std::size_t at = 0; at < bytes.size();)
    at += static_cast<std::size_t>(socket.sendBytes(
        bytes.data() + at, static_cast<int>(bytes.size() - at)));
}

}  // namespace

scripted_target::scripted_target(std::string id)
    : id_(std::move(id)),
      listener_(Poco::Net::SocketAddress("127.0.0.1:0")),
      address_(listener_.address().toString()),
      acceptor_([this](const std::stop_token& stop) { AcceptAll(stop); }) {}

scripted_target::~scripted_target() {
  acceptor_ = std::jthread();
}

void scripted_target::SetAnswer(scripted_answer answer) {
  std::lock_guard guard(lock_);
  answer_ = std::move(answer);
}

void scripted_target::AcceptAll(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    if (!listener_.poll(Poco::Timespan(kStopCheckUs),
                        Poco::Net::Socket::SELECT_READ))
      continue;
    auto socket = listener_.acceptConnection();
    socket.setNoDelay(true);
    connections_.emplace_back(
        [this, socket](const std::stop_token& end) { Serve(socket, end); });
  }
}

void scripted_target::Serve(Poco::Net::StreamSocket socket,
                            const std::stop_token& stop) {
  std::string head;
  std::array<char, 4096> buffer{};
  try {
    while (!stop.stop_requested()) {
      if (!socket.poll(Poco::Timespan(kStopCheckUs),
                       Poco::Net::Socket::SELECT_READ))
        continue;
      const int got =
          socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      if (got <= 0)
        return;
      head.append(buffer.data(), static_cast<std::size_t>(got));
      if (head.find("\r\n\r\n") == std::string::npos)
        continue;
      if (!Answer(socket, head))
        return;
      head.clear();
    }
  } catch (const Poco::Exception&) {
    // The entry has closed the connection.
  }
}

bool scripted_target::Answer(Poco::Net::StreamSocket& socket,
                             const std::string& head) {
  scripted_answer answer;
  const bool faulty =
      head.substr(0, head.find("\r\n")).find("faulty") != std::string::npos;
  if (faulty) {
    std::lock_guard guard(lock_);
    answer = answer_;
    ++faulty_answers_;
  } else {
    answer = {"HTTP/1.1 200 OK\r\nRequest-Id: " + kRequestId +
                  "\r\nServer-Stamp: " + stamp() +
                  "\r\nContent-Length: 5\r\n\r\nsound",
              connection_end::kKeep};
  }
  SendAll(socket,
          Replace(answer.bytes, kRequestId, HeaderOf(head, "Request-Id")));
  if (answer.end == connection_end::kKeep)
    return true;
  if (answer.end == connection_end::kReset)
    socket.setLinger(true, 0);
  socket.close();
  return false;
}

}  // namespace samphire::platform
