#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Timespan.h>

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "proxy/http_exchange.h"
#include "support/environment_number.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// Far above what an exchange takes of a head, with all buffers on the way.
constexpr std::size_t kMaxTaken = std::size_t{16} << 20U;
constexpr milliseconds kDeadline{1500};
// A reader that is bounded in bytes closes long before the deadline.
constexpr milliseconds kSoon{1000};
// The bound on bodies without a declared length in these tests.
constexpr std::size_t kMaxBody = std::size_t{256} << 10U;
const std::string kId = "r-1";

// What a target does after the first bytes of its answer.
enum class answer_end { kClose, kReset, kEndless };

struct faulty_answer {
  std::string begin;
  answer_end end = answer_end::kClose;
  // Repeated without end.
  std::string filler;
};

// A target that gives each connection the next of its answers.
class faulty_target {
 public:
  faulty_target()
      : listener_(Poco::Net::SocketAddress("127.0.0.1:0")),
        thread_([this](const std::stop_token& stop) { ServeAll(stop); }) {}

  std::string address() const { return listener_.address().toString(); }
  void SetAnswer(faulty_answer answer) { answer_ = std::move(answer); }
  // Bytes of the last endless answer that were taken; kMaxTaken or more if the
  // reader did not close.
  std::size_t taken() const { return taken_; }
  // Waits until the target is done with the last connection.
  void AwaitEnd(int connections) const {
    while (served_ < connections)
      std::this_thread::sleep_for(1ms);
  }

 private:
  void ServeAll(const std::stop_token& stop) {
    while (!stop.stop_requested()) {
      if (!listener_.poll(Poco::Timespan(20'000),
                          Poco::Net::Socket::SELECT_READ))
        continue;
      auto socket = listener_.acceptConnection();
      try {
        Serve(socket);
      } catch (const Poco::Exception&) {
        // The reader has closed the connection.
      }
      ++served_;
    }
  }
  void Serve(Poco::Net::StreamSocket& socket) {
    std::string request;
    std::array<char, 512> buffer{};
    while (request.find("\r\n\r\n") == std::string::npos) {
      const int got =
          socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
      if (got <= 0)
        return;
      request.append(buffer.data(), static_cast<std::size_t>(got));
    }
    taken_ = 0;
    Send(socket, answer_.begin);
    std::string block;
    while (block.size() < 8192 && !answer_.filler.empty())
      block += answer_.filler;
    while (answer_.end == answer_end::kEndless && taken_ < kMaxTaken) {
      Send(socket, block);
      taken_ += block.size();
    }
    if (answer_.end == answer_end::kReset)
      socket.setLinger(true, 0);
    socket.close();
  }
  static void Send(Poco::Net::StreamSocket& socket, const std::string& bytes) {
    socket.setSendTimeout(Poco::Timespan(3, 0));
    std::size_t at = 0;
    while (at < bytes.size())
      at += static_cast<std::size_t>(socket.sendBytes(
          bytes.data() + at, static_cast<int>(bytes.size() - at)));
  }

  Poco::Net::ServerSocket listener_;
  faulty_answer answer_;
  std::atomic<std::size_t> taken_ = 0;
  std::atomic<int> served_ = 0;
  std::jthread thread_;
};

// What a caller of the exchange gets.
struct got_answer {
  result_code code = result_code::kOk;
  int status = 0;
  std::string body;
  milliseconds took{0};

  bool IsWhole() const { return code == result_code::kOk; }
};

class exchange_setup {
 public:
  got_answer Ask(faulty_answer answer) {
    target_.SetAnswer(std::move(answer));
    const auto started = std::chrono::steady_clock::now();
    auto got = Read();
    got.took = std::chrono::duration_cast<milliseconds>(
        std::chrono::steady_clock::now() - started);
    target_.AwaitEnd(++asked_);
    return got;
  }
  std::size_t taken() const { return target_.taken(); }

 private:
  got_answer Read() {
    connection_pool pool;
    const caller_watch no_caller;
    http_exchange exchange(pool, target_.address(), no_caller,
                           std::chrono::steady_clock::now() + kDeadline,
                           {.accept_unframed = true,
                            .max_unframed_body = kMaxBody,
                            .echo_header = "Request-Id",
                            .echo_value = kId});
    REQUIRE(exchange.Connect(connection_use::kNew));
    Poco::Net::HTTPRequest request("GET", "/x", "HTTP/1.1");
    request.setHost("target");
    got_answer got;
    if (const auto sent = exchange.Send(request, {}); !sent) {
      got.code = sent.error().code;
      return got;
    }
    const auto head = exchange.ReadHead();
    if (!head) {
      got.code = head.error().code;
      return got;
    }
    got.status = head.value()->getStatus();
    std::array<char, 16'384> buffer{};
    while (true) {
      const auto bytes = exchange.ReadBody(buffer);
      if (!bytes) {
        got.code = bytes.error().code;
        return got;
      }
      if (bytes.value() == 0)
        return got;
      got.body.append(buffer.data(), bytes.value());
    }
  }

  faulty_target target_;
  int asked_ = 0;
};

// An answer and what its reader must make of it.
struct sound_answer {
  std::string bytes;
  std::string body;
  // Whether only the end of the connection ends the body.
  bool until_close = false;
};

const std::string kHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: r-1\r\nAnswered-By: s.1\r\n";

std::vector<sound_answer> SoundAnswers() {
  const std::string late =
      "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nContent-Length: 4\r\n\r\nlate";
  return {
      {kHead + "Content-Length: 9\r\n\r\nthe level", "the level"},
      {kHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nthe \r\n5;x=y\r\nlevel"
               "\r\n0\r\nTrailer: z\r\n\r\n",
       "the level"},
      {kHead + "\r\nthe level", "the level", true},
      {"HTTP/1.1 100 Continue\r\n\r\n" + kHead +
           "Content-Length: 9\r\n\r\nthe level",
       "the level"},
      {late + kHead + "Content-Length: 9\r\n\r\nthe level", "the level"},
  };
}

// What a sick target may send without end.
const std::vector<std::string> kFillers{
    "x",
    " ",
    "\r\n",
    "A: b\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nContent-Length: 0\r\n\r\n",
    "1\r\nx\r\n",
    std::string(1, '\0')};

}  // namespace

// Guards against a target that sends bytes without end in place of a head: they
// kept a thread busy until the request's time was over.
TEST_CASE("an endless head is given up after a bounded number of bytes") {
  exchange_setup setup;
  const std::string begins[] = {
      "", "HTTP/1.1 200 OK\r\n",
      "HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 100 Continue\r\n\r\n"};
  for (const auto& begin : begins) {
    for (const auto& filler : kFillers) {
      if (begin.ends_with("\r\n") && filler == "\r\n")
        continue;  // The head is complete, and the rest is its body.
      const auto got = setup.Ask({begin, answer_end::kEndless, filler});
      INFO("after '" << begin << "' without end '" << filler << "'");
      CHECK_FALSE(got.IsWhole());
      CHECK(setup.taken() < kMaxTaken);
      CHECK(got.took < kSoon);
    }
  }
}

// Guards against a connection that ends within a head and passes for a complete
// answer without a body, and against any other answer that is not the one that
// was sent.
TEST_CASE("an answer that is cut at any byte is not taken for a whole one") {
  exchange_setup setup;
  for (const auto& sound : SoundAnswers()) {
    for (std::size_t at = 0; at < sound.bytes.size(); ++at) {
      // A close is the end of a body without a length.
      const auto end =
          sound.until_close ? answer_end::kReset : answer_end::kClose;
      const auto got = setup.Ask({sound.bytes.substr(0, at), end, ""});
      INFO("after '" << sound.bytes.substr(0, at) << "'");
      CHECK_FALSE(got.IsWhole());
    }
  }
}

TEST_CASE("an answer that is sent twice is read once") {
  exchange_setup setup;
  for (const auto& sound : SoundAnswers()) {
    if (sound.until_close)
      continue;  // The second one belongs to its body.
    const auto got =
        setup.Ask({sound.bytes + sound.bytes, answer_end::kClose, ""});
    CHECK(got.IsWhole());
    CHECK(got.status == 200);
    CHECK(got.body == sound.body);
  }
}

// Guards against bytes without end at any place of an answer. More seeds by
// SAMPHIRE_FUZZ_SEED and SAMPHIRE_FUZZ_COUNT.
TEST_CASE("answers that become endless or spoilt at any byte are bounded") {
  const auto first = EnvironmentNumber("SAMPHIRE_FUZZ_SEED", 20261204);
  const auto count = EnvironmentNumber("SAMPHIRE_FUZZ_COUNT", 1);
  exchange_setup setup;
  for (auto seed = first; seed < first + count; ++seed) {
    std::mt19937 random(static_cast<std::uint32_t>(seed));
    const auto below = [&](std::size_t bound) {
      return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
    };
    for (const auto& sound : SoundAnswers()) {
      for (std::size_t at = 0; at < sound.bytes.size(); ++at) {
        const auto& filler = kFillers[below(kFillers.size())];
        const auto got = setup.Ask(
            {sound.bytes.substr(0, at), answer_end::kEndless, filler});
        INFO("seed " << seed << ", after '" << sound.bytes.substr(0, at)
                     << "' without end '" << filler << "'");
        CHECK(setup.taken() < kMaxTaken);
        CHECK(got.took < kSoon);
        CHECK(got.body.size() <= kMaxBody);
        auto spoilt = sound.bytes;
        spoilt[at] = static_cast<char>(below(256));
        const auto other = setup.Ask({spoilt, answer_end::kReset, ""});
        CHECK(other.body.size() <= sound.bytes.size());
      }
    }
  }
}
