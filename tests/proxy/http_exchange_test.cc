#include "proxy/http_exchange.h"

#include <Poco/Net/ServerSocket.h>

#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <thread>

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// Target on a free port that serves each of its connections in turn with the
// routine given for it.
class scripted_target {
 public:
  using routine = std::function<void(Poco::Net::StreamSocket&)>;

  explicit scripted_target(std::vector<routine> connections)
      : socket_(Poco::Net::SocketAddress("127.0.0.1:0")),
        thread_([this, connections = std::move(connections)] {
          for (const auto& serve : connections) {
            auto connection = socket_.acceptConnection();
            serve(connection);
          }
        }) {}
  ~scripted_target() { thread_.join(); }

  std::string address() const { return socket_.address().toString(); }

 private:
  Poco::Net::ServerSocket socket_;
  std::thread thread_;
};

void ReadRequest(Poco::Net::StreamSocket& socket) {
  std::string seen;
  std::array<char, 512> buffer{};
  while (seen.find("\r\n\r\n") == std::string::npos) {
    const int got = socket.receiveBytes(buffer.data(), buffer.size());
    if (got <= 0)
      return;
    seen.append(buffer.data(), static_cast<std::size_t>(got));
  }
}

void SendBytes(Poco::Net::StreamSocket& socket, const std::string& bytes) {
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

void AwaitClose(Poco::Net::StreamSocket& socket) {
  std::array<char, 512> buffer{};
  while (socket.receiveBytes(buffer.data(), buffer.size()) > 0) {
  }
}

// Body source that returns the given segments and then ends, or fails with
// `end`.
class scripted_body final : public body_source {
 public:
  explicit scripted_body(std::vector<std::string> segments,
                         result_code end = result_code::kOk)
      : segments_(std::move(segments)), end_(end) {}

  result<std::size_t> Read(std::span<char> buffer) override {
    if (next_ == segments_.size()) {
      if (end_ != result_code::kOk)
        return MakeError(end_);
      return std::size_t{0};
    }
    const auto& segment = segments_[next_++];
    std::copy(segment.begin(), segment.end(), buffer.begin());
    return segment.size();
  }

 private:
  const std::vector<std::string> segments_;
  const result_code end_;
  std::size_t next_ = 0;
};

// Returns everything received on a connection until it has been quiet for
// 100 ms or is closed.
std::string ReadUntilQuiet(Poco::Net::StreamSocket& socket) {
  std::string seen;
  std::array<char, 4096> buffer{};
  while (socket.poll(Poco::Timespan(100'000), Poco::Net::Socket::SELECT_READ)) {
    const int got = socket.receiveBytes(buffer.data(), buffer.size());
    if (got <= 0)
      break;
    seen.append(buffer.data(), static_cast<std::size_t>(got));
  }
  return seen;
}

Poco::Net::HTTPRequest Get() {
  Poco::Net::HTTPRequest request("GET", "/x", "HTTP/1.1");
  request.setHost("target");
  request.setKeepAlive(true);
  return request;
}

std::string ReadBody(http_exchange& exchange) {
  std::string body;
  std::array<char, 64> buffer{};
  while (true) {
    const auto got = exchange.ReadBody(buffer);
    if (!got || got.value() == 0)
      return got ? body : std::string(NameOf(got.error().code));
    body.append(buffer.data(), got.value());
  }
}

}  // namespace

// A target that declares no length crashes in the middle of its response. If
// the close were taken for the end, the truncated body would look complete.
TEST_CASE("a response delimited only by close is refused by default") {
  scripted_target target({[](auto& socket) {
    ReadRequest(socket);
    SendBytes(socket, "HTTP/1.1 200 OK\r\n\r\nhalf a le");
  }});
  connection_pool pool;
  const caller_watch no_caller;
  http_exchange exchange(pool, target.address(), no_caller,
                         std::chrono::steady_clock::now() + 2s);
  REQUIRE(exchange.Connect(connection_use::kNew));
  REQUIRE(exchange.Send(Get(), {}));
  CHECK(exchange.ReadHead().error().code == result_code::kAnswerTruncated);
}

TEST_CASE("a response delimited by an orderly close is complete if accepted") {
  scripted_target target({[](auto& socket) {
    ReadRequest(socket);
    SendBytes(socket, "HTTP/1.1 200 OK\r\n\r\nthe level");
  }});
  connection_pool pool;
  const caller_watch no_caller;
  http_exchange exchange(pool, target.address(), no_caller,
                         std::chrono::steady_clock::now() + 2s,
                         {.accept_unframed = true});
  REQUIRE(exchange.Connect(connection_use::kNew));
  REQUIRE(exchange.Send(Get(), {}));
  REQUIRE(exchange.ReadHead());
  CHECK(ReadBody(exchange) == "the level");
}

// The target crashes while it sends a response without a length. The reset is
// the only sign of that; without checking it, the caller would act on a
// truncated reading.
TEST_CASE("a response without length that ends with a reset is truncated") {
  scripted_target target({[](auto& socket) {
    ReadRequest(socket);
    SendBytes(socket, "HTTP/1.1 200 OK\r\n\r\nhalf a le");
    std::this_thread::sleep_for(50ms);
    socket.setLinger(true, 0);
    socket.close();
  }});
  connection_pool pool;
  const caller_watch no_caller;
  http_exchange exchange(pool, target.address(), no_caller,
                         std::chrono::steady_clock::now() + 2s,
                         {.accept_unframed = true});
  REQUIRE(exchange.Connect(connection_use::kNew));
  REQUIRE(exchange.Send(Get(), {}));
  REQUIRE(exchange.ReadHead());
  CHECK(ReadBody(exchange) == NameOf(result_code::kTargetFailed));
}

// A target responds to one request twice. The second response arrives when the
// connection already carries the next request, whose caller would receive it.
TEST_CASE("a late response to an earlier request is skipped") {
  scripted_target target({[](auto& socket) {
    ReadRequest(socket);
    SendBytes(socket,
              "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nfirst");
    ReadRequest(socket);
    SendBytes(socket,
              "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nfirst"
              "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 6\r\n\r\nsecond");
    AwaitClose(socket);
  }});
  connection_pool pool;
  const caller_watch no_caller;
  for (const std::string id : {"1", "2"}) {
    http_exchange exchange(pool, target.address(), no_caller,
                           std::chrono::steady_clock::now() + 2s,
                           {.echo_header = "Id", .echo_value = id});
    REQUIRE(exchange.Connect(connection_use::kAny));
    REQUIRE(exchange.Send(Get(), {}));
    REQUIRE(exchange.ReadHead());
    CHECK(ReadBody(exchange) == (id == "1" ? "first" : "second"));
  }
  pool.CloseIdle(target.address());
}

TEST_CASE("a connection is reused after a complete response") {
  scripted_target target({[](auto& socket) {
    for (int i = 0; i < 2; ++i) {
      ReadRequest(socket);
      SendBytes(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" +
                            std::to_string(i));
    }
    AwaitClose(socket);
  }});
  connection_pool pool;
  const caller_watch no_caller;
  for (const auto* expected : {"0", "1"}) {
    http_exchange exchange(pool, target.address(), no_caller,
                           std::chrono::steady_clock::now() + 10s);
    REQUIRE(exchange.Connect(connection_use::kAny));
    REQUIRE(exchange.Send(Get(), ""));
    REQUIRE(exchange.ReadHead());
    CHECK(ReadBody(exchange) == expected);
  }
  pool.CloseIdle(target.address());
}

TEST_CASE("a late response never reaches the next request") {
  // The first caller's deadline passes while the target is still working, and
  // the response arrives later on the same connection. If the connection were
  // reused, the next caller would receive the first caller's reading.
  scripted_target target({[](auto& socket) {
                            ReadRequest(socket);
                            AwaitClose(socket);
                          },
                          [](auto& socket) {
                            ReadRequest(socket);
                            SendBytes(socket,
                                      "HTTP/1.1 200 OK\r\n"
                                      "Content-Length: 6\r\n\r\nsecond");
                            AwaitClose(socket);
                          }});
  connection_pool pool;
  const caller_watch no_caller;
  {
    http_exchange first(pool, target.address(), no_caller,
                        std::chrono::steady_clock::now() + 30ms);
    REQUIRE(first.Connect(connection_use::kAny));
    REQUIRE(first.Send(Get(), ""));
    CHECK(first.ReadHead().error().code == result_code::kDeadlineExceeded);
  }
  {
    http_exchange second(pool, target.address(), no_caller,
                         std::chrono::steady_clock::now() + 10s);
    REQUIRE(second.Connect(connection_use::kAny));
    REQUIRE(second.Send(Get(), ""));
    REQUIRE(second.ReadHead());
    CHECK(ReadBody(second) == "second");
  }
  pool.CloseIdle(target.address());
}

TEST_CASE("surplus bytes after a response close the connection") {
  // A faulty target sends more than it declared. The surplus would be read as
  // the start of the response to the next caller.
  scripted_target target({[](auto& socket) {
    ReadRequest(socket);
    SendBytes(socket,
              "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1HTTP/1.1 200 OK");
    AwaitClose(socket);
  }});
  connection_pool pool;
  const caller_watch no_caller;
  http_exchange exchange(pool, target.address(), no_caller,
                         std::chrono::steady_clock::now() + 10s);
  REQUIRE(exchange.Connect(connection_use::kAny));
  REQUIRE(exchange.Send(Get(), ""));
  REQUIRE(exchange.ReadHead());
  CHECK(ReadBody(exchange) == "1");
  // The scripted target's thread ends only when the connection is closed.
}

TEST_CASE("a caller that disconnects cancels the work at the target") {
  // A user closes the page while the target is still working. Unless the
  // connection to the target is closed too, its slot stays occupied for
  // nothing.
  scripted_target target({[](auto& socket) {
    ReadRequest(socket);
    AwaitClose(socket);
  }});
  Poco::Net::ServerSocket callers(Poco::Net::SocketAddress("127.0.0.1:0"));
  Poco::Net::StreamSocket caller(callers.address());
  const caller_watch watch(callers.acceptConnection());
  connection_pool pool;
  http_exchange exchange(pool, target.address(), watch,
                         std::chrono::steady_clock::now() + 10s);
  REQUIRE(exchange.Connect(connection_use::kAny));
  REQUIRE(exchange.Send(Get(), ""));
  CHECK_FALSE(watch.IsDisconnected());
  caller.close();
  CHECK(exchange.ReadHead().error().code == result_code::kCallerGone);
}

TEST_CASE("a long body is forwarded as it arrives, by length or in chunks") {
  const bool chunked = GENERATE(false, true);
  std::string seen;
  scripted_target target({[&](auto& socket) {
    seen = ReadUntilQuiet(socket);
    SendBytes(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  }});
  connection_pool pool;
  const caller_watch no_caller;
  Poco::Net::HTTPRequest head("POST", "/x", "HTTP/1.1");
  if (chunked)
    head.setChunkedTransferEncoding(true);
  else
    head.setContentLength(15);
  scripted_body remainder({" second", " third"});
  {
    http_exchange exchange(pool, target.address(), no_caller,
                           std::chrono::steady_clock::now() + 5s);
    REQUIRE(exchange.Connect(connection_use::kNew));
    REQUIRE(exchange.Send(head, "1.", &remainder));
    REQUIRE(exchange.ReadHead());
  }
  const auto body = seen.substr(seen.find("\r\n\r\n") + 4);
  CHECK(body == (chunked ? "2\r\n1.\r\n7\r\n second\r\n6\r\n third\r\n0\r\n\r\n"
                         : "1. second third"));
}

// The caller's link breaks in the middle of an upload. If the forwarded body
// were ended normally, the target would store a truncated upload.
TEST_CASE("a truncated request body never looks complete to a target") {
  std::string seen;
  scripted_target target(
      {[&](auto& socket) { seen = ReadUntilQuiet(socket); }});
  connection_pool pool;
  const caller_watch no_caller;
  Poco::Net::HTTPRequest head("POST", "/x", "HTTP/1.1");
  head.setChunkedTransferEncoding(true);
  scripted_body remainder({" second"}, result_code::kMalformedRequest);
  {
    http_exchange exchange(pool, target.address(), no_caller,
                           std::chrono::steady_clock::now() + 5s);
    REQUIRE(exchange.Connect(connection_use::kNew));
    const auto sent = exchange.Send(head, "1.", &remainder);
    REQUIRE_FALSE(sent);
    CHECK(sent.error().code == result_code::kMalformedRequest);
  }
  CHECK_FALSE(seen.ends_with("0\r\n\r\n"));
}

// Guards against the rest of a body that goes to a peer which can't use it, and
// is then missing elsewhere.
TEST_CASE("the rest of an offered body is sent only if it is asked for") {
  const bool asked = GENERATE(true, false);
  std::string seen;
  scripted_target target({[&](auto& socket) {
    ReadRequest(socket);
    if (asked) {
      SendBytes(socket, "HTTP/1.1 100 Continue\r\n\r\n");
      seen = ReadUntilQuiet(socket);
    }
    SendBytes(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  }});
  connection_pool pool;
  const caller_watch no_caller;
  const auto deadline = std::chrono::steady_clock::now() + 2s;
  http_exchange exchange(pool, target.address(), no_caller, deadline);
  REQUIRE(exchange.Connect(connection_use::kNew));
  auto head = Get();
  head.setContentLength(9);
  const auto offered = exchange.Offer(head, "half", deadline);
  REQUIRE(offered);
  CHECK(offered.value() == asked);
  scripted_body rest({" more"});
  if (asked)
    REQUIRE(exchange.SendRest(rest));
  REQUIRE(exchange.ReadHead());
  CHECK(ReadBody(exchange) == "ok");
  CHECK(exchange.body_bytes_sent() == (asked ? 9 : 4));
  if (asked)
    CHECK(seen.ends_with(" more"));
}

TEST_CASE("an offer without an answer ends at its own time") {
  scripted_target target({[](auto& socket) {
    ReadRequest(socket);
    AwaitClose(socket);
  }});
  connection_pool pool;
  const caller_watch no_caller;
  const auto now = std::chrono::steady_clock::now();
  http_exchange exchange(pool, target.address(), no_caller, now + 5s);
  REQUIRE(exchange.Connect(connection_use::kNew));
  CHECK(exchange.Offer(Get(), "", now + 100ms).error().code ==
        result_code::kDeadlineExceeded);
  CHECK(std::chrono::steady_clock::now() - now < 2s);
}
