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

// A target on a free port that serves its connections with a given routine.
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

void Answer(Poco::Net::StreamSocket& socket, const std::string& bytes) {
  socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

void AwaitClose(Poco::Net::StreamSocket& socket) {
  std::array<char, 512> buffer{};
  while (socket.receiveBytes(buffer.data(), buffer.size()) > 0) {
  }
}

// A body that comes in the given pieces and then ends, or fails.
class listed_pieces final : public body_source {
 public:
  explicit listed_pieces(std::vector<std::string> pieces,
                         result_code end = result_code::kOk)
      : pieces_(std::move(pieces)), end_(end) {}

  result<std::size_t> Read(std::span<char> buffer) override {
    if (next_ == pieces_.size()) {
      if (end_ != result_code::kOk)
        return MakeError(end_);
      return std::size_t{0};
    }
    const auto& piece = pieces_[next_++];
    std::copy(piece.begin(), piece.end(), buffer.begin());
    return piece.size();
  }

 private:
  const std::vector<std::string> pieces_;
  const result_code end_;
  std::size_t next_ = 0;
};

// Everything that comes on a connection until nothing does for a while.
std::string TakeAll(Poco::Net::StreamSocket& socket) {
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

// A target that gives no length and dies in the middle looks, to those who
// take the close for the end, as if it had answered whole: half a level.
TEST_CASE("an answer that only its close ends is refused unless asked for") {
  scripted_target target({[](auto& socket) {
    ReadRequest(socket);
    Answer(socket, "HTTP/1.1 200 OK\r\n\r\nhalf a le");
  }});
  connection_pool pool;
  const caller_watch nobody;
  http_exchange exchange(pool, target.address(), nobody,
                         std::chrono::steady_clock::now() + 2s);
  REQUIRE(exchange.Connect(true));
  REQUIRE(exchange.Send(Get(), {}));
  CHECK(exchange.ReadHead().error().code == result_code::kAnswerTruncated);
}

TEST_CASE("an answer that its orderly close ends is whole where asked for") {
  scripted_target target({[](auto& socket) {
    ReadRequest(socket);
    Answer(socket, "HTTP/1.1 200 OK\r\n\r\nthe level");
  }});
  connection_pool pool;
  const caller_watch nobody;
  http_exchange exchange(pool, target.address(), nobody,
                         std::chrono::steady_clock::now() + 2s,
                         {.accept_unframed = true});
  REQUIRE(exchange.Connect(true));
  REQUIRE(exchange.Send(Get(), {}));
  REQUIRE(exchange.ReadHead());
  CHECK(ReadBody(exchange) == "the level");
}

// The target crashes while it answers without a length. The reset is the only
// sign; a caller that got the part for the whole would act on half a level.
TEST_CASE("an answer without length that a reset cuts is not whole") {
  scripted_target target({[](auto& socket) {
    ReadRequest(socket);
    Answer(socket, "HTTP/1.1 200 OK\r\n\r\nhalf a le");
    std::this_thread::sleep_for(50ms);
    socket.setLinger(true, 0);
    socket.close();
  }});
  connection_pool pool;
  const caller_watch nobody;
  http_exchange exchange(pool, target.address(), nobody,
                         std::chrono::steady_clock::now() + 2s,
                         {.accept_unframed = true});
  REQUIRE(exchange.Connect(true));
  REQUIRE(exchange.Send(Get(), {}));
  REQUIRE(exchange.ReadHead());
  CHECK(ReadBody(exchange) == NameOf(result_code::kTargetFailed));
}

// A target answers one request twice; the second answer arrives when the
// connection already carries the next request, whose caller would get it.
TEST_CASE("a late answer to an earlier request is passed over") {
  scripted_target target({[](auto& socket) {
    ReadRequest(socket);
    Answer(socket,
           "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nfirst");
    ReadRequest(socket);
    Answer(socket,
           "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nfirst"
           "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 6\r\n\r\nsecond");
    AwaitClose(socket);
  }});
  connection_pool pool;
  const caller_watch nobody;
  for (const std::string id : {"1", "2"}) {
    http_exchange exchange(pool, target.address(), nobody,
                           std::chrono::steady_clock::now() + 2s,
                           {.echo_header = "Id", .echo_value = id});
    REQUIRE(exchange.Connect(false));
    REQUIRE(exchange.Send(Get(), {}));
    REQUIRE(exchange.ReadHead());
    CHECK(ReadBody(exchange) == (id == "1" ? "first" : "second"));
  }
  pool.Forget(target.address());
}

TEST_CASE("a connection is used again only after a whole answer") {
  scripted_target target({[](auto& socket) {
    for (int i = 0; i < 2; ++i) {
      ReadRequest(socket);
      Answer(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" +
                         std::to_string(i));
    }
    AwaitClose(socket);
  }});
  connection_pool pool;
  const caller_watch nobody;
  for (const auto* expected : {"0", "1"}) {
    http_exchange exchange(pool, target.address(), nobody,
                           std::chrono::steady_clock::now() + 10s);
    REQUIRE(exchange.Connect(false));
    REQUIRE(exchange.Send(Get(), ""));
    REQUIRE(exchange.ReadHead());
    CHECK(ReadBody(exchange) == expected);
  }
  pool.Forget(target.address());
}

TEST_CASE("a late answer never reaches the next request") {
  // The first caller's deadline passes while the target still works. Its
  // answer arrives later, on the same connection. If that connection served
  // the next request, the next caller would be shown the first one's reading.
  scripted_target target({[](auto& socket) {
                            ReadRequest(socket);
                            AwaitClose(socket);
                          },
                          [](auto& socket) {
                            ReadRequest(socket);
                            Answer(socket,
                                   "HTTP/1.1 200 OK\r\n"
                                   "Content-Length: 6\r\n\r\nsecond");
                            AwaitClose(socket);
                          }});
  connection_pool pool;
  const caller_watch nobody;
  {
    http_exchange first(pool, target.address(), nobody,
                        std::chrono::steady_clock::now() + 30ms);
    REQUIRE(first.Connect(false));
    REQUIRE(first.Send(Get(), ""));
    CHECK(first.ReadHead().error().code == result_code::kDeadlineExceeded);
  }
  {
    http_exchange second(pool, target.address(), nobody,
                         std::chrono::steady_clock::now() + 10s);
    REQUIRE(second.Connect(false));
    REQUIRE(second.Send(Get(), ""));
    REQUIRE(second.ReadHead());
    CHECK(ReadBody(second) == "second");
  }
  pool.Forget(target.address());
}

TEST_CASE("surplus bytes after an answer close the connection") {
  // A broken target sends more than it announced. The surplus would be read
  // as the start of the next caller's answer.
  scripted_target target({[](auto& socket) {
    ReadRequest(socket);
    Answer(socket,
           "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1HTTP/1.1 200 OK");
    AwaitClose(socket);
  }});
  connection_pool pool;
  const caller_watch nobody;
  http_exchange exchange(pool, target.address(), nobody,
                         std::chrono::steady_clock::now() + 10s);
  REQUIRE(exchange.Connect(false));
  REQUIRE(exchange.Send(Get(), ""));
  REQUIRE(exchange.ReadHead());
  CHECK(ReadBody(exchange) == "1");
  // The scripted target ends only when the connection is closed.
}

TEST_CASE("a caller that goes away cancels the work at the target") {
  // A technician closes the page while the target still computes. Unless the
  // target's connection is closed too, its slot stays taken for nobody.
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
  REQUIRE(exchange.Connect(false));
  REQUIRE(exchange.Send(Get(), ""));
  CHECK_FALSE(watch.IsGone());
  caller.close();
  CHECK(exchange.ReadHead().error().code == result_code::kCallerGone);
}

TEST_CASE("a long body is passed on as it comes, under a length or in chunks") {
  const bool chunked = GENERATE(false, true);
  std::string seen;
  scripted_target target({[&](auto& socket) {
    seen = TakeAll(socket);
    Answer(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  }});
  connection_pool pool;
  const caller_watch nobody;
  Poco::Net::HTTPRequest head("POST", "/x", "HTTP/1.1");
  if (chunked)
    head.setChunkedTransferEncoding(true);
  else
    head.setContentLength(15);
  listed_pieces rest({" second", " third"});
  {
    http_exchange exchange(pool, target.address(), nobody,
                           std::chrono::steady_clock::now() + 5s);
    REQUIRE(exchange.Connect(true));
    REQUIRE(exchange.Send(head, "1.", &rest));
    REQUIRE(exchange.ReadHead());
  }
  const auto body = seen.substr(seen.find("\r\n\r\n") + 4);
  CHECK(body == (chunked ? "2\r\n1.\r\n7\r\n second\r\n6\r\n third\r\n0\r\n\r\n"
                         : "1. second third"));
}

// A technician's link breaks in the middle of an upload. Ended as if it were
// whole, half of it would be filed.
TEST_CASE("a body that breaks off on its way never looks whole to a target") {
  std::string seen;
  scripted_target target({[&](auto& socket) { seen = TakeAll(socket); }});
  connection_pool pool;
  const caller_watch nobody;
  Poco::Net::HTTPRequest head("POST", "/x", "HTTP/1.1");
  head.setChunkedTransferEncoding(true);
  listed_pieces rest({" second"}, result_code::kMalformedRequest);
  {
    http_exchange exchange(pool, target.address(), nobody,
                           std::chrono::steady_clock::now() + 5s);
    REQUIRE(exchange.Connect(true));
    const auto sent = exchange.Send(head, "1.", &rest);
    REQUIRE_FALSE(sent);
    CHECK(sent.error().code == result_code::kMalformedRequest);
  }
  CHECK_FALSE(seen.ends_with("0\r\n\r\n"));
}
