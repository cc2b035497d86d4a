#include "platform_adapter/scripted_target.h"

#include <utility>

#include "platform_adapter/wire_text.h"

namespace samphire::platform {

namespace {

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
    : id_(std::move(id)), server_([this](auto& socket, auto& input) {
        if (input.find("\r\n\r\n") == std::string::npos)
          return true;
        return Answer(socket, std::exchange(input, {}));
      }) {}

void scripted_target::SetAnswer(scripted_answer answer) {
  std::lock_guard guard(lock_);
  answer_ = std::move(answer);
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
