#include "platform_adapter/recording_target.h"

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace samphire::platform {

recording_target::recording_target(std::string id)
    : id_(std::move(id)), server_([this](auto& socket, auto& input) {
        return AnswerAll(socket, input);
      }) {}

std::vector<raw_request> recording_target::TakeRuns() {
  std::lock_guard guard(lock_);
  return std::exchange(runs_, {});
}

std::vector<std::string> recording_target::TakeSpoilt() {
  std::lock_guard guard(lock_);
  return std::exchange(spoilt_, {});
}

bool recording_target::AnswerAll(Poco::Net::StreamSocket& socket,
                                 std::string& bytes) {
  std::string_view rest = bytes;
  raw_request request;
  raw_reading reading = raw_reading::kIncomplete;
  while (!bytes.empty() &&
         (reading = TakeRequest(rest, request)) == raw_reading::kWhole) {
    bytes.erase(0, bytes.size() - rest.size());
    rest = bytes;
    const auto answer = fmt::format(
        "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nServer-Stamp: {}\r\n"
        "Instance-Id: {}\r\nContent-Length: 3\r\n\r\n{}",
        request.Value("Request-Id"), stamp(), id_,
        request.method == "HEAD" ? "" : "ran");
    if (request.target != "/health") {
      std::lock_guard guard(lock_);
      runs_.push_back(request);
    }
    socket.sendBytes(answer.data(), static_cast<int>(answer.size()));
  }
  if (reading != raw_reading::kMalformed)
    return true;
  std::lock_guard guard(lock_);
  spoilt_.push_back(bytes);
  return false;
}

}  // namespace samphire::platform
