#include "platform_adapter/raw_caller.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>

#include <array>
#include <regex>

namespace samphire::platform {

namespace {

// Sends and receives never block for longer, in seconds.
constexpr int kSocketSeconds = 5;

}  // namespace

raw_caller::raw_caller(const std::string& address)
    : socket_(Poco::Net::SocketAddress(address)) {
  socket_.setNoDelay(true);
  socket_.setSendTimeout(Poco::Timespan(kSocketSeconds, 0));
}

void raw_caller::Send(const std::string& bytes) {
  try {
    for (std::size_t at = 0; at < bytes.size();)
      at += static_cast<std::size_t>(socket_.sendBytes(
          bytes.data() + at, static_cast<int>(bytes.size() - at)));
  } catch (const Poco::Exception&) {
    // The entry has refused what came first.
  }
}

void raw_caller::EndSending() {
  try {
    socket_.shutdownSend();
  } catch (const Poco::Exception&) {
    // The entry has closed the connection.
  }
}

const std::vector<raw_response>& raw_caller::Await(
    std::size_t count,
    std::chrono::milliseconds time) {
  const auto until = std::chrono::steady_clock::now() + time;
  std::array<char, 65'536> buffer{};
  try {
    while (responses_.size() < count && !ended_) {
      const auto left = std::chrono::duration_cast<std::chrono::microseconds>(
          until - std::chrono::steady_clock::now());
      if (left.count() <= 0 || !socket_.poll(Poco::Timespan(left.count()),
                                             Poco::Net::Socket::SELECT_READ))
        break;
      const int got =
          socket_.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      ended_ = got <= 0;
      if (got > 0)
        received_.append(buffer.data(), static_cast<std::size_t>(got));
      TakeResponses();
    }
  } catch (const Poco::Exception&) {
    ended_ = true;
  }
  return responses_;
}

// All responses of these tests have a length.
void raw_caller::TakeResponses() {
  static const std::regex status_line(
      R"(HTTP/1\.[01] ([1-5][0-9][0-9]) [\t\x20-\x7e\x80-\xff]*)");
  static const std::regex length("\r\nContent-Length: ([0-9]{1,9})\r\n",
                                 std::regex::icase);
  while (true) {
    const auto end = received_.find("\r\n\r\n");
    if (end == std::string::npos)
      return;
    raw_response response{.head = received_.substr(0, end + 2)};
    const auto first = response.head.substr(0, response.head.find("\r\n"));
    std::smatch match;
    if (!std::regex_match(first, match, status_line))
      return;
    response.status = std::stoi(match[1]);
    std::smatch bytes;
    if (!std::regex_search(response.head, bytes, length))
      return;
    const auto count = std::stoul(bytes[1]);
    if (received_.size() < end + 4 + count)
      return;
    response.body = received_.substr(end + 4, count);
    received_.erase(0, end + 4 + count);
    responses_.push_back(std::move(response));
  }
}

}  // namespace samphire::platform
