#include "platform_adapter/kept_callers.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/String.h>
#include <Poco/Timespan.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <random>
#include <utility>

#include "platform_adapter/wire_text.h"

namespace samphire::platform {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout{1000};
constexpr milliseconds kReconnectPause{50};
// Beyond the deadline of a request, so that only silence exceeds it.
constexpr milliseconds kAnswerTolerance{1000};
constexpr std::size_t kBodyBytes = 200;

Poco::Timespan ToTimespan(milliseconds time) {
  return Poco::Timespan(std::chrono::microseconds(time).count());
}

std::optional<Poco::Net::StreamSocket> Connect(const std::string& address) {
  try {
    Poco::Net::StreamSocket socket;
    socket.connect(Poco::Net::SocketAddress(address),
                   ToTimespan(kConnectTimeout));
    return socket;
  } catch (const Poco::Exception&) {
    return std::nullopt;
  }
}

// Sends the bytes. A connection that the entry has closed may still hold a
// response, so that a failure shows when that is read.
void Send(Poco::Net::StreamSocket& socket, const std::string& bytes) {
  try {
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  } catch (const Poco::Exception&) {
    return;
  }
}

// Returns the length of the response that begins `got`; npos while its head is
// not complete.
std::size_t ResponseLength(const std::string& got) {
  const auto head_end = got.find("\r\n\r\n");
  if (head_end == std::string::npos)
    return std::string::npos;
  const auto length = HeaderOf(got.substr(0, head_end + 2), "Content-Length");
  return head_end + 4 + (length.empty() ? 0 : std::stoul(length));
}

// Reads one response. `got` holds the bytes of the connection that belong to no
// earlier response. Returns whether the connection can be used again.
bool Receive(Poco::Net::StreamSocket& socket,
             milliseconds timeout,
             std::string& got,
             kept_call& call) {
  const auto until = std::chrono::steady_clock::now() + timeout;
  std::array<char, 16384> bytes;
  std::size_t needed = ResponseLength(got);
  try {
    while (got.size() < needed) {
      const auto left = std::chrono::ceil<milliseconds>(
          until - std::chrono::steady_clock::now());
      if (left.count() <= 0 ||
          !socket.poll(ToTimespan(left), Poco::Net::Socket::SELECT_READ)) {
        call.end = call_end::kTimedOut;
        return false;
      }
      const int count =
          socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
      if (count <= 0)
        break;
      got.append(bytes.data(), static_cast<std::size_t>(count));
      needed = ResponseLength(got);
    }
  } catch (const Poco::Exception&) {
    // A reset ends the response as well.
  }
  if (needed != std::string::npos) {
    constexpr std::size_t kStatusAt = 9;
    call.status = std::stoi(got.substr(kStatusAt, 3));
  }
  if (got.size() < needed) {
    call.end = got.empty() ? call_end::kClosedUnanswered : call_end::kBrokenOff;
    return false;
  }
  call.end = call_end::kAnswered;
  const auto head = got.substr(0, got.find("\r\n\r\n") + 2);
  got.erase(0, needed);
  return Poco::icompare(HeaderOf(head, "Connection"), "close") != 0;
}

std::string RequestOf(const kept_call& call, milliseconds deadline) {
  const std::string body(call.repeatable ? 0 : kBodyBytes, 'y');
  return fmt::format(
      "{} /{}/{} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\n"
      "Request-Deadline: {}\r\nContent-Length: {}\r\n\r\n{}",
      call.repeatable ? "GET" : "POST", call.repeatable ? "read" : "write",
      call.id, call.id, deadline.count(), body.size(), body);
}

}  // namespace

kept_callers::kept_callers(const caller_plan& plan,
                           std::function<std::string(int caller)> entry_of)
    : plan_(plan), entry_of_(std::move(entry_of)) {
  for (int i = 0; i < plan.callers; ++i)
    threads_.emplace_back([this, i] { Run(i); });
}

kept_callers::~kept_callers() {
  finishing_ = true;
}

std::vector<kept_call> kept_callers::Finish() {
  finishing_ = true;
  threads_.clear();
  std::lock_guard guard(lock_);
  return calls_;
}

void kept_callers::Run(int caller) {
  std::mt19937_64 random(plan_.seed * 1000 +
                         static_cast<std::uint64_t>(caller));
  std::optional<Poco::Net::StreamSocket> socket;
  std::string received;
  std::chrono::steady_clock::time_point connected;
  const auto entry = entry_of_(caller);
  for (int number = 0; !finishing_; ++number) {
    if (!socket) {
      connected = std::chrono::steady_clock::now();
      socket = Connect(entry);
    }
    if (!socket) {
      std::this_thread::sleep_for(kReconnectPause);
      continue;
    }
    kept_call call;
    call.id =
        fmt::format("{:04x}{:04x}{:08x}", plan_.seed & 0xffffU, caller, number);
    call.entry = entry;
    call.connected = connected;
    call.repeatable = caller % 2 == 0;
    call.sent = std::chrono::steady_clock::now();
    Send(*socket, RequestOf(call, plan_.deadline));
    if (!Receive(*socket, plan_.deadline + kAnswerTolerance, received, call)) {
      socket.reset();
      received.clear();
    }
    call.ended = std::chrono::steady_clock::now();
    {
      std::lock_guard guard(lock_);
      calls_.push_back(std::move(call));
    }
    std::this_thread::sleep_for(milliseconds(
        random() % static_cast<std::uint64_t>(plan_.max_pause.count() + 1)));
  }
}

}  // namespace samphire::platform
