#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/String.h>
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "front/front_server.h"
#include "gateway/caller_response.h"
#include "gateway/response_relay.h"
#include "platform_adapter/entry_ways.h"
#include "platform_adapter/raw_answer.h"
#include "platform_adapter/scripted_target.h"
#include "platform_adapter/wire_text.h"
#include "traffic/handler_factory.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

namespace {

// Below all buffers of an entry, above those of one read (16 KiB), and above
// the responses that are held until they are whole (128 KiB).
constexpr std::size_t kSmall = 9;
constexpr std::size_t kMedium = 20'000;
constexpr std::size_t kLarge = 140'000;

const std::string kStart =
    "HTTP/1.1 200 OK\r\nRequest-Id: " + scripted_target::kRequestId +
    "\r\nServer-Stamp: stamp.7\r\n";

// An answer to another request.
const std::string kOtherAnswer =
    "HTTP/1.1 200 OK\r\nRequest-Id: 0001\r\nContent-Length: 4\r\n\r\nlate";

std::string Body(std::size_t bytes) {
  std::string body;
  while (body.size() < bytes)
    body += "level " + std::to_string(body.size()) + "\n";
  body.resize(bytes);
  return body;
}

std::string InChunks(const std::string& body, const std::string& trailer = "") {
  constexpr std::size_t kChunk = 7'001;
  std::string coded;
  for (std::size_t at = 0; at < body.size(); at += kChunk) {
    const auto part = body.substr(at, kChunk);
    coded += fmt::format("{:x}\r\n{}\r\n", part.size(), part);
  }
  return coded + "0\r\n" + trailer + "\r\n";
}

scripted_answer WithLength(std::size_t bytes) {
  return {fmt::format("{}Content-Length: {}\r\n\r\n{}", kStart, bytes,
                      Body(bytes))};
}

scripted_answer Chunked(std::size_t bytes) {
  return {kStart + "Transfer-Encoding: chunked\r\n\r\n" +
          InChunks(Body(bytes))};
}

scripted_answer Unframed(std::size_t bytes) {
  return {kStart + "\r\n" + Body(bytes)};
}

// What an entry expects of its targets.
struct target_contract {
  // Whether answers echo the id of their request.
  bool echoes = true;
  // Whether an answer may end with its connection.
  bool may_end_with_connection = true;
};

// Sends requests to one target, by the entry that an instance uses.
class caller {
 public:
  caller(std::string address,
         scripted_target& target,
         target_contract contract = {})
      : address_(std::move(address)), target_(target), contract_(contract) {}

  // Returns what a caller gets for the answer. The target has been asked, and
  // serves another request before, so that it does not count as failing.
  caller_view Get(const scripted_answer& answer,
                  const std::string& version = "1.1",
                  const std::string& method = "GET") {
    CHECK(Ask(address_, "/write/sound", NextId()).IsSuccess());
    target_.SetAnswer(answer);
    const int asked = target_.faulty_answers();
    id_ = NextId();
    auto view = Ask(address_, "/write/faulty/" + id_, id_, version, method);
    CHECK(target_.faulty_answers() == asked + 1);
    return view;
  }
  const target_contract& contract() const { return contract_; }
  // Returns what the answer says by the contract.
  std::optional<raw_answer> Meaning(const scripted_answer& answer) const {
    return Understand(answer, contract_.echoes ? id_ : "");
  }

 private:
  std::string NextId() { return std::to_string(1000 + ++requests_ % 9000); }

  const std::string address_;
  scripted_target& target_;
  const target_contract contract_;
  std::string id_;
  int requests_ = 0;
};

// Checks that a caller gets what the target's bytes say or a failure.
void CheckTold(caller& by,
               const scripted_answer& answer,
               const std::string& version = "1.1") {
  const auto view = by.Get(answer, version);
  const auto said = by.Meaning(answer);
  if (view.IsSuccess()) {
    REQUIRE(said);
    CHECK(view.answer.status == said->status);
    CHECK(view.answer.stamp == said->stamp);
    CHECK((view.answer.body == said->body));
  } else if (view.whole && !view.answer.stamp.empty()) {
    REQUIRE(said);
    CHECK(view.answer.status == said->status);
  }
  CHECK(view.excess == 0);
}

void CheckServed(caller& by,
                 const scripted_answer& answer,
                 const std::string& version = "1.1") {
  const auto view = by.Get(answer, version);
  const auto said = by.Meaning(answer);
  REQUIRE(said);
  CHECK(view.whole);
  CHECK(view.answer.status == said->status);
  CHECK(view.answer.stamp == said->stamp);
  CHECK((view.answer.body == said->body));
  CHECK(view.excess == 0);
}

std::string FirstBytes(const std::string& bytes) {
  return bytes.substr(0, 160) + " ... of " + std::to_string(bytes.size());
}

// Answers that a sound target may send.
std::vector<scripted_answer> SoundAnswers() {
  std::vector<scripted_answer> sound;
  for (const auto bytes : {std::size_t{0}, kSmall, kMedium, kLarge}) {
    sound.push_back(WithLength(bytes));
    sound.push_back(Chunked(bytes));
    sound.push_back(Unframed(bytes));
  }
  const std::string length = "Content-Length: 9\r\n\r\nthe level";
  const auto small = kStart + length;
  const auto without_reason = "HTTP/1.1 200\r\n" + small.substr(17);
  for (const auto& bytes :
       {without_reason, kOtherAnswer + small,
        "HTTP/1.1 100 Continue\r\n\r\n" + small,
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + small,
        "HTTP/1.0" + small.substr(8),
        kStart + "x-level:\t\xc3\xa4 \r\ncontent-length:9 \r\n\r\nthe level",
        kStart + "Transfer-Encoding: CHUNKED\r\n\r\n9;a=b\r\nthe level\r\n"
                 "0\r\nTrailer: z\r\n\r\n",
        "HTTP/1.1 204 No Content" + kStart.substr(15) + "\r\n",
        // Bytes beyond the answer, also a second answer.
        small + "\r\nHTTP/1.1 500", small + small})
    sound.push_back({bytes});
  return sound;
}

// Heads whose framing can't be relied on, each with a body that is whole by
// some reading and one that is cut.
std::vector<scripted_answer> DoubtfulAnswers() {
  const std::string chunks = "5\r\nhello\r\n0\r\n\r\n";
  std::vector<std::pair<std::string, std::string>> heads;
  for (const auto* coding :
       {"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: identity", "Transfer-Encoding: chun\033ked",
        "Transfer-Encoding: chunket", "Transfer-Encoding:",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
        "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding : chunked", "Transfer-Encoding chunked",
        "Transfer-Encodinh: chunked", "Transfer_Encoding: chunked",
        "Transfer-Encoding:\r\n chunked", " Transfer-Encoding: chunked",
        "Transfer\tEncoding: chunked"})
    heads.emplace_back(coding, chunks);
  for (const auto* length : {"Content-Length: 3\r\nContent-Length: 5",
                             "Content-Length: 5\r\nContent-Length: 5",
                             "Content-Length: 3, 5",
                             "Content-Length: +3",
                             "Content-Length: -3",
                             "Content-Length: 0x3",
                             "Content-Length: 3 5",
                             "Content-Length:",
                             "Content-Length: 3\x01",
                             "Content-Length: three",
                             "Content-Length 99",
                             "Content-Length; 99",
                             "Content-Length : 99",
                             "Content-Lengti: 99",
                             "ContentoLength: 99",
                             "Content-Length: 99999999999999999999",
                             "Content-Length:\r\n 99",
                             "Content-Length: 9\n9",
                             "Content\x7fLength: 99",
                             ": 99",
                             "Content-Length\r\n: 99"})
    heads.emplace_back(length, "hello");
  std::vector<scripted_answer> doubtful;
  for (const auto& [head, body] : heads) {
    const auto whole = fmt::format("{}{}\r\n\r\n{}", kStart, head, body);
    doubtful.push_back({whole});
    doubtful.push_back({whole.substr(0, whole.size() - body.size() + 4)});
  }
  for (const auto& bytes :
       {"HTTP/1.0" + kStart.substr(8) + "Transfer-Encoding: chunked\r\n\r\n" +
            chunks,
        "HTTP/1.1 204 X" + kStart.substr(15) + "Content-Length: 5\r\n\r\nhello",
        "HTTP/1.1 101 X" + kStart.substr(15) + "\r\n" + kStart +
            "Content-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200OK" + kStart.substr(15) + "\r\nhello",
        "HTTP/1.1  200 OK" + kStart.substr(15) + "\r\nhello",
        // The blank line comes early, or its line end is spoilt.
        kStart + "\nContent-Length: 99\r\n\r\nhello",
        kStart + "Content-Length: 5\r\n\nhello",
        kStart + "Content-Length: 5\n\r\nhello"})
    doubtful.push_back({bytes});
  const auto chunked = kStart + "Transfer-Encoding: chunked\r\n\r\n";
  for (const auto* body :
       {"0x5\r\nhello\r\n0\r\n\r\n", "+5\r\nhello\r\n0\r\n\r\n",
        " 5\r\nhello\r\n0\r\n\r\n", "5\nhello\r\n0\r\n\r\n",
        "5\r\nhello0\r\n\r\n", "5\r\nhello\r\n0\r\n",
        // A size that was spoilt into that of the last chunk.
        "0\r\nhello\r\n0\r\n\r\n", "0\r\nhe:lo\r\n0\r\n\r\n",
        "\r\n5\r\nhello\r\n0\r\n\r\n", "5\r\nhello\r\n\r\n0\r\n\r\n",
        "5\r\nhello\r\n0\r\n\n"})
    doubtful.push_back({chunked + body});
  return doubtful;
}

// Whether only the end of the connection ends the body.
bool EndsWithConnection(const scripted_answer& answer) {
  const auto head = Poco::toLower(
      answer.bytes.substr(answer.bytes.find(kStart) + kStart.size(), 40));
  return head.starts_with("\r\n");
}

// Hands each request to a target and its answer to the caller, as an entry of
// the own path does once a slot is held.
class relaying_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  relaying_handler(connection_pool& pool, std::string target)
      : pool_(pool), target_(std::move(target)) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    caller_response sink(request, response);
    const caller_watch watch(sink.socket());
    const response_status ran{.run = run_state::kRan};
    outgoing_request outgoing;
    outgoing.address = target_;
    outgoing.head.setMethod(request.getMethod());
    outgoing.head.setURI(request.getURI());
    outgoing.head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    outgoing.head.set("Request-Id", request.get("Request-Id", ""));
    outgoing.deadline = std::chrono::steady_clock::now() + 2s;
    outgoing.connection = connection_use::kNew;
    const auto end = response_relay(pool_, watch, sink, ran).Run(outgoing);
    if (end.relayed)
      return;
    if (end.response)
      SendBuffered(sink, *end.response, ran);
    else
      sink.Refuse({.code = result_code::kTargetFailed});
  }

 private:
  connection_pool& pool_;
  const std::string target_;
};

// A target whose answers are the test's, for callers of the own path. Its
// targets declare the ends of their answers and echo no ids.
struct own_path {
  scripted_target target{"i-script"};
  connection_pool pool;
  metrics counters;
  front_server server{
      "127.0.0.1:0",
      new handler_factory([this](const Poco::Net::HTTPServerRequest&) {
        return new relaying_handler(pool, target.address());
      }),
      front_limits{}, counters};
  std::unique_ptr<caller> by;

  own_path() {
    server.Start();
    by = std::make_unique<caller>(
        server.address(), target,
        target_contract{.echoes = false, .may_end_with_connection = false});
  }
};

// A target whose answers are the test's, for callers of one entry.
struct one_entry {
  scripted_target target{"i-script"};
  direct_entry entry{target.id(), target.address()};
  caller by{entry.address(), target};
};

// The same for callers of an entry whose requests others pass on.
struct entry_beside_others {
  scripted_target target{"i-script"};
  relaying_entry entry{target.id(), target.address(), target.stamp()};
  caller by{entry.address(), target};
};

// Calls `check` for a caller of an entry that reaches the target itself, for
// one of an entry that asks another one, and for one of the own path.
void AllWays(const std::function<void(caller&)>& check) {
  SECTION("directly") {
    one_entry entry;
    check(entry.by);
  }
  SECTION("through another entry") {
    entry_beside_others entry;
    check(entry.by);
  }
  SECTION("on the own path") {
    own_path path;
    check(*path.by);
  }
}

scripted_answer Cut(const scripted_answer& sound,
                    std::size_t at,
                    connection_end end) {
  return {sound.bytes.substr(0, at), end};
}

std::size_t HeadBytes(const scripted_answer& answer) {
  return answer.bytes.find("\r\n\r\n") + 4;
}

// Every byte of short answers and of heads; of long bodies, those at the edges
// of buffers and some between.
std::vector<std::size_t> Places(const scripted_answer& answer) {
  const auto head = HeadBytes(answer);
  std::vector<std::size_t> places;
  for (std::size_t at = 0; at < answer.bytes.size(); ++at) {
    const auto in_body = at < head ? 0 : at - head;
    const auto left = answer.bytes.size() - at;
    const bool at_edge = in_body % 16'384 < 2 || in_body % 7'001 < 8;
    if (in_body < 60 || left < 12 || (at_edge && in_body % 5 == 0))
      places.push_back(at);
  }
  return places;
}

struct fuzz_seeds {
  std::uint32_t first = 20261204;
  std::uint32_t count = 1;
};

fuzz_seeds SeedsFromEnvironment() {
  fuzz_seeds seeds;
  if (const char* first = std::getenv("SAMPHIRE_FUZZ_SEED"))
    seeds.first = static_cast<std::uint32_t>(std::stoul(first));
  if (const char* count = std::getenv("SAMPHIRE_FUZZ_COUNT"))
    seeds.count = static_cast<std::uint32_t>(std::stoul(count));
  return seeds;
}

// Whether the byte belongs to the value of Content-Length. A smaller length can
// not be told from bytes beyond an answer.
bool IsOfLength(const scripted_answer& answer, std::size_t at) {
  const auto begin = answer.bytes.find("Content-Length: ");
  return begin != std::string::npos && at >= begin + 16 &&
         at < answer.bytes.find("\r\n", begin);
}

}  // namespace

// Guards against answers whose headers change on the way: a line break that a
// target encodes in one ended the head, and the rest of it became the body.
TEST_CASE("headers of answers reach callers as targets sent them") {
  const std::vector<std::string> lines{
      "X-Note: =?UTF-8?Q?a=0D=0A=0D=0Ab?=",
      "X-Note: =?UTF-8?B?DQoNCg==?=",
      "X-Note: =?ISO-8859-1?Q?=00=0D=0AContent-Length:_1?=",
      "X-Name: \xc3\xa4\xff",
      "X-Empty: ",
      "X-Long: " + std::string(9000, 'l'),
      "X-Many: 1\r\nX-Many: 2"};
  AllWays([&](caller& by) {
    for (const auto& line : lines) {
      INFO(line.substr(0, 80));
      const scripted_answer answer{fmt::format(
          "{}{}\r\nContent-Length: 9\r\n\r\nthe level", kStart, line)};
      CheckServed(by, answer);
      CHECK(by.Get(answer).head.find("\r\n" + line + "\r\n") !=
            std::string::npos);
    }
  });
}

// Guards against a status that is none and reaches a caller as an answer.
TEST_CASE("callers get no answer with a status that is none") {
  AllWays([](caller& by) {
    for (const auto* status :
         {"000", "001", "099", "600", "999", "20", "2000", "0200", "+200",
          "2 0", "", "2e2", "\262\060\060", "-20"}) {
      INFO(status);
      const auto view =
          by.Get({fmt::format("HTTP/1.1 {}{}Content-Length: 9\r\n\r\nthe level",
                              status, kStart.substr(12))});
      CHECK_FALSE(view.IsSuccess());
      CHECK((!view.whole ||
             (view.answer.status >= 500 && view.answer.status <= 504)));
      CHECK(view.answer.stamp.empty());
    }
  });
}

// Guards against answers that are refused although nothing is wrong with them.
TEST_CASE("callers get sound answers of all framings whole") {
  AllWays([](caller& by) {
    for (const auto& answer : SoundAnswers()) {
      INFO(FirstBytes(answer.bytes));
      const bool other_first = answer.bytes.starts_with(kOtherAnswer);
      if (other_first && !by.contract().echoes)
        continue;
      if (EndsWithConnection(answer) && !other_first &&
          !by.contract().may_end_with_connection)
        CHECK_FALSE(by.Get(answer).IsSuccess());
      else
        CheckServed(by, answer);
    }
  });
}

// Guards against chunk heads in the body of a caller that knows no chunks, and
// against a body that breaks off and seems to end with the connection.
TEST_CASE("callers that speak HTTP/1.0 get whole answers or a reset") {
  one_entry entry;
  for (const auto bytes : {kSmall, kLarge}) {
    for (const auto& answer :
         {WithLength(bytes), Chunked(bytes), Unframed(bytes)}) {
      INFO(FirstBytes(answer.bytes));
      CheckServed(entry.by, answer, "1.0");
      const auto cut =
          Cut(answer, answer.bytes.size() - 3, connection_end::kReset);
      CHECK_FALSE(entry.by.Get(cut, "1.0").IsSuccess());
    }
  }
}

// Guards against a body that breaks off, or holds the bytes of its coding, and
// passes for a whole one since the head says nothing reliable of its end.
TEST_CASE("callers get no success from an answer whose framing is in doubt") {
  AllWays([](caller& by) {
    for (const auto& answer : DoubtfulAnswers()) {
      INFO(answer.bytes);
      CHECK_FALSE(by.Get(answer).IsSuccess());
    }
  });
}

// Guards against an answer that ends early and looks complete. Where only the
// end of the connection ends the body, a reset is its cut.
TEST_CASE("callers get no success from an answer that is cut at any byte") {
  AllWays([](caller& by) {
    for (const auto bytes : {kSmall, kLarge}) {
      for (const auto& answer :
           {WithLength(bytes), Chunked(bytes), Unframed(bytes)}) {
        const bool unframed = answer.bytes == Unframed(bytes).bytes;
        for (const auto at : Places(answer)) {
          const auto end = unframed && at >= HeadBytes(answer)
                               ? connection_end::kReset
                               : connection_end::kClose;
          INFO(FirstBytes(answer.bytes) << ", cut after " << at);
          CHECK_FALSE(by.Get(Cut(answer, at, end)).IsSuccess());
        }
      }
    }
  });
}

// Guards against a head that breaks off and passes for that of a whole answer:
// one that has no body, one behind interim answers, or one to HEAD.
TEST_CASE("callers get no success from a head that is cut at any byte") {
  const std::string length = "Content-Length: 9\r\n\r\n";
  const auto rest = kStart.substr(15) + "\r\n";
  const auto sound = kStart + length;
  const std::string go_on = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
  const std::vector<std::pair<std::string, std::string>> cases{
      {"GET", sound},
      {"HEAD", sound},
      {"HEAD", kStart + "Transfer-Encoding: chunked\r\n\r\n"},
      {"GET", "HTTP/1.1 204 No Content" + rest},
      {"GET", "HTTP/1.1 304 Not Modified" + rest},
      {"GET", go_on + sound},
      {"HEAD", fmt::format("{}{}{}", hints, go_on, sound)}};
  AllWays([&](caller& by) {
    for (const auto& [method, bytes] : cases) {
      for (const auto end : {connection_end::kClose, connection_end::kReset}) {
        for (std::size_t at = 0; at < bytes.size(); ++at) {
          INFO(method << " " << bytes << ", cut after " << at);
          const auto view = by.Get(Cut({bytes}, at, end), "1.1", method);
          CHECK_FALSE(view.IsSuccess());
          CHECK((!view.whole || view.answer.stamp.empty()));
        }
      }
    }
  });
}

// Guards against the same where the connection has carried a request before,
// and the request may be sent again.
TEST_CASE("a head that is cut on a kept connection is no success") {
  one_entry entry;
  for (const auto* other :
       {&entry.entry.setup.read_1, &entry.entry.setup.read_2})
    entry.entry.setup.stand_in.Remove("servers/" + other->id());
  entry.entry.setup.stand_in.Write(
      "servers/i-reads", TargetObject(entry.target.address(), "reads"));
  const auto& address = entry.entry.setup.settings.traffic.caller_address;
  const auto get = [&](const std::string& path, int id) {
    return Ask(address, path, std::to_string(id));
  };
  REQUIRE(Eventually([&] {
    return get("/read/sound", 1).answer.stamp == entry.target.stamp();
  }));
  int id = 1000;
  const auto whole = WithLength(kSmall).bytes;
  for (const auto end : {connection_end::kClose, connection_end::kReset}) {
    for (std::size_t at = 0; at < whole.size(); ++at) {
      INFO("cut after " << at);
      CHECK(Eventually([&] { return get("/read/sound", ++id).IsSuccess(); }));
      entry.target.SetAnswer(Cut({whole}, at, end));
      CHECK_FALSE(get("/read/faulty/" + std::to_string(at), ++id).IsSuccess());
    }
  }
}

// Guards against any other answer than the one that was sent when a byte of it
// is spoilt, and against a cut body that passes for a whole one as the head was
// spoilt as well. More seeds by SAMPHIRE_FUZZ_SEED and SAMPHIRE_FUZZ_COUNT.
TEST_CASE("callers get what a spoilt answer says, or a failure") {
  const auto seeds = SeedsFromEnvironment();
  AllWays([&](caller& by) {
    for (auto seed = seeds.first; seed < seeds.first + seeds.count; ++seed) {
      std::mt19937 random(seed);
      for (const auto& answer : {WithLength(kSmall), Chunked(kSmall),
                                 Unframed(kSmall), Chunked(kLarge)}) {
        for (const auto at : Places(answer)) {
          auto spoilt = answer;
          spoilt.bytes[at] = static_cast<char>(random() % 256);
          INFO("seed " << seed << ", byte " << at << " spoilt in "
                       << FirstBytes(spoilt.bytes));
          CheckTold(by, spoilt);
          const bool unframed = answer.bytes == Unframed(kSmall).bytes;
          if (at >= HeadBytes(answer) || unframed || IsOfLength(answer, at))
            continue;
          const auto cut =
              Cut(spoilt, HeadBytes(answer) + 4, connection_end::kClose);
          CHECK_FALSE(by.Get(cut).IsSuccess());
        }
      }
    }
  });
}
