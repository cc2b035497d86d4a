#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/String.h>
#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/request_class.h"
#include "front/front_request.h"
#include "front/front_server.h"
#include "gateway/caller_request.h"
#include "gateway/caller_response.h"
#include "gateway/response_relay.h"
#include "gateway/target_request.h"
#include "platform_adapter/entry_ways.h"
#include "platform_adapter/raw_caller.h"
#include "platform_adapter/raw_request.h"
#include "platform_adapter/recording_target.h"
#include "platform_adapter/wire_text.h"
#include "support/environment_number.h"
#include "traffic/handler_factory.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

namespace {

// The id of a request that is hidden in what may be taken for a body.
const std::string kHiddenId = "hidden-7";
const std::string kHidden =
    "POST /write/hidden HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " +
    kHiddenId + "\r\nRequest-Deadline: 2000\r\nContent-Length: 0\r\n\r\n";

// Time for an entry to answer, where it may also wait for more bytes.
constexpr auto kSettle = 30ms;

// A request whose head an entry has to refuse. Its lines follow a request line,
// a host, an id and a deadline; a hidden request follows the head.
struct refused_head {
  std::string name;
  std::string lines;
  // In place of the request line, and without the other lines, if not empty.
  std::string whole_head = {};
};

std::string Length() {
  return std::to_string(kHidden.size());
}

const std::string kHost = "Host: h.example\r\n";

std::vector<refused_head> RefusedHeads() {
  const auto n = Length();
  const std::string post = "POST /write/odd HTTP/1.1\r\n";
  const std::string id = "Request-Id: {id}\r\nRequest-Deadline: 2000\r\n";
  return {
      {"space before the colon", "Content-Length : " + n + "\r\n"},
      {"tab before the colon", "Content-Length\t: " + n + "\r\n"},
      {"no colon", "Content-Length " + n + "\r\n"},
      {"a line of words", "hello there\r\n"},
      {"a name without name", ": x\r\n"},
      {"an encoded length", "Content-Length: =?UTF-8?Q?0?=\r\n"},
      {"a list of lengths", "Content-Length: 0,0\r\n"},
      {"a list of unlike lengths", "Content-Length: 0," + n + "\r\n"},
      {"a list of equal lengths", "Content-Length: " + n + ", " + n + "\r\n"},
      {"a signed length", "Content-Length: +" + n + "\r\n"},
      {"a negative length", "Content-Length: -1\r\n"},
      {"a hexadecimal length", "Content-Length: 0x5\r\n"},
      {"a length with a separator", "Content-Length: 1,0\r\n"},
      {"a length with a space", "Content-Length: 1 0\r\n"},
      {"a length without value", "Content-Length:\r\n"},
      {"a length in words", "Content-Length: ten\r\n"},
      {"a length in fractions", "Content-Length: 5.0\r\n"},
      {"two lengths", "Content-Length: 0\r\nContent-Length: " + n + "\r\n"},
      {"two equal lengths",
       "Content-Length: " + n + "\r\ncontent-length: " + n + "\r\n"},
      {"length and coding",
       "Content-Length: " + n + "\r\nTransfer-Encoding: chunked\r\n"},
      {"coding and length",
       "Transfer-Encoding: chunked\r\nContent-Length: " + n + "\r\n"},
      {"an unknown coding", "Transfer-Encoding: gzip\r\n"},
      {"two codings", "Transfer-Encoding: gzip, chunked\r\n"},
      {"two codings, the last unknown",
       "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"},
      {"chunked twice",
       "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"},
      {"an encoded coding", "Transfer-Encoding: =?UTF-8?Q?chunked?=\r\n"},
      {"a coding without value", "Transfer-Encoding:\r\n"},
      {"a coding with a control byte",
       "Transfer-Encoding: \x0b"
       "chunked\r\n"},
      {"a coding in quotes", "Transfer-Encoding: \"chunked\"\r\n"},
      {"space before the colon of a coding", "Transfer-Encoding : chunked\r\n"},
      {"a folded length", "Content-Length:\r\n " + n + "\r\n"},
      {"a folded value", "X-A: b\r\n c\r\n"},
      {"a value folded with a tab", "X-A: b\r\n\tc\r\n"},
      {"a line feed alone", "X-A: b\nContent-Length: " + n + "\r\n"},
      {"a carriage return alone", "X-A: b\rContent-Length: " + n + "\r\n"},
      {"a zero byte in a value", std::string("X-A: b\0c\r\n", 10)},
      {"a zero byte in a name", std::string("X-\0A: b\r\n", 9)},
      {"a control byte in a value", "X-A: b\x01\r\n"},
      {"a delete byte in a value", "X-A: b\x7f\r\n"},
      {"a control byte in a name", "X-\x01: b\r\n"},
      {"a space in a name", "X A: b\r\n"},
      {"a bracket in a name", "X(A): b\r\n"},
      {"a byte above 127 in a name", "X-\xc3\xa4: b\r\n"},
      {"an id after a carriage return", "X-A\rRequest-Id: other\r\n"},
      {"an id behind a line feed", "X-A: b\nRequest-Id: other\r\n"},
      {"two ids", "Request-Id: other\r\n"},
      {"two deadlines", "Request-Deadline: 9000\r\n"},
      {"two hosts", "Host: other.example\r\n"},
      {"an id that goes no further", "Connection: Request-Id\r\n"},
      {"an id in a list that goes no further",
       "Connection: keep-alive, REQUEST-ID\r\n"},
      {"an id in a second list that goes no further",
       "Connection: keep-alive\r\nConnection: request-id\r\n"},
      {"a deadline that goes no further", "Connection: Request-Deadline\r\n"},
      {"a length that goes no further",
       "Connection: Content-Length\r\nContent-Length: " + n + "\r\n"},
      {"a space before the first header", "",
       post + " X-A: b\r\n" + kHost + id},
      {"no host", "", post + id},
      {"a host with a space", "", post + "Host: h.example x\r\n" + id},
      {"a host with a path", "", post + "Host: h.example/write\r\n" + id},
      {"a host with a user", "", post + "Host: a@h.example\r\n" + id},
      {"an encoded host", "", post + "Host: =?UTF-8?Q?h.example?=\r\n" + id},
      {"a control byte in the target", "",
       "POST /write/odd\x0b HTTP/1.1\r\n" + kHost + id},
      {"a carriage return in the target", "",
       "POST /write/odd\rX-A: HTTP/1.1\r\n" + kHost + id},
      {"a space in the target", "",
       "POST /write/odd x HTTP/1.1\r\n" + kHost + id},
      {"two spaces before the target", "",
       "POST  /write/odd HTTP/1.1\r\n" + kHost + id},
      {"a tab before the target", "",
       "POST\t/write/odd HTTP/1.1\r\n" + kHost + id},
      {"a byte above 127 in the target", "",
       "POST /write/\xc3\xa4 HTTP/1.1\r\n" + kHost + id},
      {"a fragment in the target", "",
       "POST /write/odd#x HTTP/1.1\r\n" + kHost + id},
      {"a target with a host", "",
       "POST http://h.example/write/odd HTTP/1.1\r\n" + kHost + id},
      {"a target without slash", "",
       "POST write/odd HTTP/1.1\r\n" + kHost + id},
      {"a tunnel", "", "CONNECT /write/odd HTTP/1.1\r\n" + kHost + id},
      {"a bracket in the method", "",
       "PO(ST /write/odd HTTP/1.1\r\n" + kHost + id},
      {"two versions", "",
       "POST /write/odd HTTP/1.1 HTTP/1.1\r\n" + kHost + id},
      {"a version that does not exist", "",
       "POST /write/odd HTTP/1.2\r\n" + kHost + id},
      {"a version of two digits", "",
       "POST /write/odd HTTP/1.10\r\n" + kHost + id},
      {"another major version", "",
       "POST /write/odd HTTP/2.0\r\n" + kHost + id},
      {"a version in small letters", "",
       "POST /write/odd http/1.1\r\n" + kHost + id},
      {"a space behind the version", "",
       "POST /write/odd HTTP/1.1 \r\n" + kHost + id},
      {"no version", "", "POST /write/odd\r\n" + kHost + id},
      {"a request line that ends with a line feed", "",
       "POST /write/odd HTTP/1.1\n" + kHost + id},
      {"two empty lines first", "", "\r\n\r\n" + post + kHost + id},
      {"a line feed first", "", "\n" + post + kHost + id},
      {"a coding in HTTP/1.0", "",
       "POST /write/odd HTTP/1.0\r\n" + kHost + id +
           "Transfer-Encoding: chunked\r\n"},
      {"a status line", "", "HTTP/1.1 200 OK\r\n" + kHost + id},
  };
}

// Headers that sound callers send, which reach the target as they came.
std::vector<std::string> SoundLines() {
  std::vector<std::string> lines{
      "X-Note: =?UTF-8?Q?note=0D=0A=0D=0AGET_/x_HTTP/1.1?=",
      "X-Note: =?ISO-8859-1?B?DQoNCg==?= and =?UTF-8?Q?=00?=",
      "X-Note: =?UTF-8?Q?cut",
      "X-Name: \xc3\xa4\xf6\xff",
      "X-Empty:",
      "X-Quoted: \"a, b\"; c=\"\\\"\"",
      "X-Tabs: a\tb  c",
      "X-Colons: a:b::c:",
      "Accept: " + std::string(9000, 'a'),
      std::string(2000, 'n') + ": 1",
      "TE: trailers",
      "Upgrade: h2c",
      "Connection: close, X-Hop",
      "Expect: 100-continue",
      "!#$%&'*+.^_`|~-: marks",
      "Cookie: a=b; c=d\r\nCookie: e=f",
      "Content-Lengthy: 5",
      "Content_Length: 5",
      "X-Content-Length: 0, 5"};
  std::string many;
  for (int i = 0; i < 400; ++i)
    many += fmt::format("X-{}: {}\r\n", i, i);
  many.resize(many.size() - 2);
  lines.push_back(many);
  return lines;
}

struct sent_request {
  std::string id;
  std::string bytes;
};

// Requests of these tests have distinct ids.
std::string NextId() {
  static int last = 0;
  return fmt::format("c-{}", ++last);
}

std::string FilledIn(std::string text, const std::string& id) {
  const std::string mark = "{id}";
  for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark))
    text.replace(at, mark.size(), id);
  return text;
}

sent_request Sound(const std::string& lines = "",
                   const std::string& body = "the claim",
                   const std::string& method = "POST",
                   const std::string& path = "/write/sound?a=%0d%0a&b=c|d") {
  const auto id = NextId();
  return {id, fmt::format("{} {} HTTP/1.1\r\n{}Request-Id: {}\r\n"
                          "Request-Deadline: 2000\r\n{}Content-Length: {}\r\n"
                          "\r\n{}",
                          method, path, kHost, id, lines, body.size(), body)};
}

sent_request SoundInChunks() {
  const auto id = NextId();
  return {id, fmt::format("POST /write/sound HTTP/1.1\r\n{}Request-Id: {}\r\n"
                          "Request-Deadline: 2000\r\nTransfer-Encoding: "
                          "chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n",
                          kHost, id, kHidden.size(), kHidden)};
}

sent_request Bytes(const refused_head& refused) {
  const auto id = NextId();
  const auto head = refused.whole_head.empty()
                        ? "POST /write/odd HTTP/1.1\r\n" + kHost +
                              "Request-Id: {id}\r\nRequest-Deadline: 2000\r\n" +
                              refused.lines
                        : refused.whole_head;
  return {id, FilledIn(head, id) + "\r\n" + kHidden};
}

// How callers of a test reach a target.
struct way {
  std::string address;
  recording_target& target;
};

// Sends each request to the target as an entry of the own path does.
class own_path_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  own_path_handler(connection_pool& pool, std::string target)
      : pool_(pool), target_(std::move(target)) {}

  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    static const request_class once{.name = "once", .repeatable = false};
    auto& incoming = static_cast<front_request&>(request);
    caller_response sink(request, response);
    const auto now = std::chrono::steady_clock::now();
    caller_request read;
    read.request_class = &once;
    read.id = request.get("Request-Id", "none");
    read.method = request.getMethod();
    read.path = request.getURI();
    read.headers = request;
    read.deadline = now + 2s;
    auto body = incoming.ReadBody(1 << 20, read.deadline);
    if (!body) {
      response.setKeepAlive(false);
      sink.Refuse({.code = body.error().code});
      return;
    }
    read.body = body.value();
    const caller_watch watch(sink.socket());
    const response_status ran{.run = run_state::kRan};
    const auto end = response_relay(pool_, watch, sink, ran)
                         .Run(MakeTargetRequest(read, target_, now));
    if (end.response)
      SendBuffered(sink, *end.response, ran);
    else if (!end.relayed)
      sink.Refuse({.code = result_code::kTargetFailed});
  }

 private:
  connection_pool& pool_;
  const std::string target_;
};

struct own_path {
  recording_target target{"i-own"};
  connection_pool pool;
  metrics counters;
  front_server server{
      "127.0.0.1:0",
      new handler_factory([this](const Poco::Net::HTTPServerRequest&) {
        return new own_path_handler(pool, target.address());
      }),
      front_limits{}, counters};

  own_path() { server.Start(); }
};

// Calls `check` for an entry that reaches the target itself, for one that asks
// another entry, and for the own path.
void AllWays(const std::function<void(way)>& check) {
  SECTION("directly") {
    recording_target target("i-record");
    direct_entry entry(target.id(), target.address());
    check({entry.address(), target});
  }
  SECTION("through another entry") {
    recording_target target("i-record");
    relaying_entry entry(target.id(), target.address(), target.stamp());
    target.TakeRuns();
    check({entry.address(), target});
  }
  SECTION("on the own path") {
    own_path path;
    check({path.server.address(), path.target});
  }
}

// Where a request stands on its connection.
enum class place { kFresh, kKept, kPipelined };

// Sends the request, behind a sound one unless the connection is fresh. Returns
// the responses, which are `expected` or fewer.
std::vector<raw_response> Send(raw_caller& by,
                               const sent_request& request,
                               place at,
                               std::size_t expected) {
  // A body ahead of it would take the pipelined bytes for excess.
  const auto first = Sound("", "");
  if (at == place::kPipelined)
    by.Send(first.bytes + request.bytes);
  if (at == place::kKept) {
    by.Send(first.bytes);
    by.Await(1);
  }
  if (at != place::kPipelined)
    by.Send(request.bytes);
  return by.Await(expected);
}

// Headers that an entry replaces or that concern one connection.
const std::set<std::string> kNotPassedOn{
    "connection", "request-deadline", "te",   "upgrade",
    "expect",     "content-length",   "host", "transfer-encoding"};

// Checks that the target ran what the caller sent, byte for byte.
void CheckSame(const raw_request& run, const raw_request& sent) {
  CHECK(run.method == sent.method);
  CHECK(run.target == sent.target);
  CHECK((run.body == sent.body));
  for (const auto& [name, value] : sent.headers) {
    if (kNotPassedOn.contains(Poco::toLower(name)))
      continue;
    INFO(name.substr(0, 80));
    CHECK((run.Values(name) == sent.Values(name)));
  }
}

// Whether a status is a refusal of what the caller sent.
bool BlamesCaller(int status) {
  return status == 400 || status == 413 || status == 431;
}

void CheckRefused(const way& by, const refused_head& refused, place at) {
  const auto request = Bytes(refused);
  raw_caller caller(by.address);
  const std::size_t before = at == place::kFresh ? 0 : 1;
  const auto responses = Send(caller, request, at, before + 2);
  INFO(refused.name << ", " << static_cast<int>(at));
  CHECK(by.target.TakeSpoilt().empty());
  for (const auto& run : by.target.TakeRuns()) {
    CHECK(run.Value("Request-Id") != kHiddenId);
    CHECK(run.Value("Request-Id") != request.id);
  }
  REQUIRE(responses.size() == before + 1);
  CHECK(BlamesCaller(responses.back().status));
  CHECK(responses.back().head.find("Samphirewinch-Result: 20") !=
        std::string::npos);
  CHECK(caller.ended());
  CHECK_FALSE(caller.has_rest());
}

void CheckServed(const way& by, const sent_request& request, place at) {
  raw_caller caller(by.address);
  const std::size_t before = at == place::kFresh ? 0 : 1;
  const auto responses = Send(caller, request, at, before + 1);
  CHECK(by.target.TakeSpoilt().empty());
  const auto runs = by.target.TakeRuns();
  REQUIRE(responses.size() == before + 1);
  CHECK(responses.back().status == 200);
  REQUIRE(runs.size() == before + 1);
  std::string_view bytes = request.bytes;
  raw_request sent;
  REQUIRE(TakeRequest(bytes, sent) == raw_reading::kWhole);
  CHECK(runs.back().Value("Request-Id") == request.id);
  CheckSame(runs.back(), sent);
}

constexpr std::initializer_list<place> kPlaces{place::kFresh, place::kKept,
                                               place::kPipelined};

}  // namespace

// Guards against requests that run though nobody sent them, hidden in what one
// reader takes for a body and the next for a request.
TEST_CASE("a head that can be read in two ways is refused and runs nothing") {
  AllWays([](const way& by) {
    for (const auto& refused : RefusedHeads()) {
      for (const auto at : kPlaces) {
        // The own path's deadline has another name.
        if (by.target.id() == "i-own" &&
            refused.name.find("deadline") != std::string::npos)
          continue;
        CheckRefused(by, refused, at);
      }
    }
  });
}

// Guards against refusing or changing what sound callers send, however odd.
TEST_CASE("odd but valid headers reach the target as they were sent") {
  AllWays([](const way& by) {
    for (const auto& lines : SoundLines()) {
      for (const auto at : kPlaces) {
        INFO(lines.substr(0, 80) << ", " << static_cast<int>(at));
        CheckServed(by, Sound(lines + "\r\n"), at);
      }
    }
  });
}

// Guards against a head or framing that only one way of sending handles.
TEST_CASE("requests of all framings run as they were sent") {
  AllWays([](const way& by) {
    const auto id = [] { return NextId(); };
    std::vector<sent_request> requests;
    for (const auto* method : {"POST", "GET", "PUT", "DELETE", "PATCH", "odd"})
      requests.push_back(Sound("", "body", method));
    const auto add = [&](const std::string& bytes) {
      const auto next = id();
      requests.push_back({next, FilledIn(bytes, next)});
    };
    const std::string head =
        kHost + "Request-Id: {id}\r\nRequest-Deadline: 2000\r\n";
    add("GET /write/x HTTP/1.1\r\n" + head + "\r\n");
    add("\r\nGET /write/x HTTP/1.1\r\n" + head + "\r\n");
    add("GET /write/x HTTP/1.0\r\nConnection: keep-alive\r\n" + head + "\r\n");
    add("GET /write/x HTTP/1.1\r\nhost:h.example\r\nREQUEST-ID:{id}\r\n"
        "Request-Deadline:\t2000 \r\n\r\n");
    add("POST /write/x HTTP/1.1\r\n" + head +
        "Transfer-Encoding: Chunked\r\n\r\n5;a=\"b\"\r\nhello\r\n0\r\n"
        "X-Trailer: z\r\n\r\n");
    add("POST /write/x HTTP/1.1\r\n" + head + "Content-Length: 0005\r\n\r\n" +
        "hello");
    for (const auto& request : requests) {
      for (const auto at : kPlaces) {
        INFO(request.bytes << ", " << static_cast<int>(at));
        const bool is_own_line =
            at == place::kPipelined &&
            request.bytes.find("HTTP/1.0") == std::string::npos;
        CheckServed(by, request, is_own_line ? at : place::kFresh);
      }
    }
  });
}

// Guards against hosts in capitals that no route is found for.
TEST_CASE("a host in capitals is the same and reaches the target as it came") {
  recording_target target("i-record");
  const direct_entry entry(target.id(), target.address());
  for (const auto* host : {"H.EXAMPLE", "h.Example:8080"}) {
    const auto id = NextId();
    raw_caller caller(entry.address());
    caller.Send(
        fmt::format("GET /write/x HTTP/1.1\r\nHost: {}\r\n"
                    "Request-Id: {}\r\nRequest-Deadline: 2000\r\n\r\n",
                    host, id));
    const auto responses = caller.Await(1);
    REQUIRE(responses.size() == 1);
    CHECK(responses.front().status == 200);
    const auto runs = target.TakeRuns();
    REQUIRE(runs.size() == 1);
    CHECK(runs.front().Value("Host") == host);
  }
}

// Guards against a bound other than the manifest's: heads within it were
// refused where an entry adds headers to pass the request on, or by a bound of
// the port.
TEST_CASE("heads up to the manifest's bound run, and longer ones are refused") {
  constexpr std::size_t kBound = 20'000;
  const auto check = [&](const way& by, stand_in_platform& platform) {
    platform.Write("config/main", Replaced(ManifestObject("00000009"),
                                           "\"maxHeaderBytes\":16384",
                                           "\"maxHeaderBytes\":20000"));
    const auto head_bytes = [](const sent_request& request) {
      return request.bytes.find("\r\n\r\n") + 4;
    };
    const auto fill = kBound - head_bytes(Sound("X-Long: \r\n")) - 8;
    REQUIRE(Eventually([&] {
      raw_caller caller(by.address);
      caller.Send(Sound("X-Long: " + std::string(fill, 'l') + "\r\n").bytes);
      const auto responses = caller.Await(1);
      return !responses.empty() && responses.front().status == 200;
    }));
    by.target.TakeRuns();
    CheckServed(by, Sound("X-Long: " + std::string(fill, 'l') + "\r\n"),
                place::kKept);
    raw_caller caller(by.address);
    caller.Send(Sound("X-Long: " + std::string(kBound, 'l') + "\r\n").bytes);
    const auto responses = caller.Await(1);
    REQUIRE(responses.size() == 1);
    CHECK(responses.front().status == 431);
    CHECK(by.target.TakeRuns().empty());
  };
  recording_target target("i-record");
  SECTION("directly") {
    direct_entry entry(target.id(), target.address());
    check({entry.address(), target}, entry.setup.stand_in);
  }
  SECTION("through another entry") {
    relaying_entry entry(target.id(), target.address(), target.stamp());
    check({entry.address(), target}, entry.targets.stand_in);
  }
}

// Guards against ports that read heads in another way than that for callers.
TEST_CASE("all ports of an entry refuse a head that can be read in two ways") {
  test_setup setup;
  setup.StartReady();
  const auto& traffic = setup.settings.traffic;
  for (const auto* address :
       {&traffic.caller_address, &traffic.readiness_address,
        &traffic.lookup_address, &traffic.metrics_address,
        &traffic.peer_address}) {
    for (const auto* line : {"Content-Length : 5", "Content-Length: 0,0",
                             "X-A: b\n", "X-A b", "Transfer-Encoding: x"}) {
      INFO(*address << " " << line);
      raw_caller caller(*address);
      caller.Send(fmt::format("GET / HTTP/1.1\r\n{}{}\r\n\r\n{}", kHost, line,
                              kHidden));
      const auto responses = caller.Await(2);
      REQUIRE(responses.size() == 1);
      CHECK(responses.front().status == 400);
    }
  }
}

namespace {

// Spoils a request: bytes, pieces and lines are put in, taken out or doubled.
class head_fuzz {
 public:
  explicit head_fuzz(std::uint32_t seed) : random_(seed) {}

  std::string Spoil(std::string bytes) {
    const auto edits = 1 + Below(3);
    for (std::size_t i = 0; i < edits; ++i)
      Edit(bytes);
    return bytes;
  }
  std::size_t Below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
  }

 private:
  std::string Piece() {
    static const std::vector<std::string> pieces{
        "\r",
        "\n",
        "\r\n",
        "\r\n\r\n",
        " ",
        "\t",
        ":",
        ",",
        "0",
        "\x01",
        std::string(1, '\0'),
        "\x7f",
        "\xff",
        "\x0b",
        "=?UTF-8?Q?=0D=0A?=",
        "Content-Length: 0\r\n",
        "Content-Length: 7\r\n",
        "Transfer-Encoding: chunked\r\n",
        "Connection: Request-Id\r\n",
        "Request-Id: other\r\n",
        " HTTP/1.1",
        "X-A: b\r\n",
        "#",
        "0\r\n\r\n",
        "GET /write/y HTTP/1.1\r\n"};
    return pieces[Below(pieces.size())];
  }
  void Edit(std::string& bytes) {
    const auto at = Below(bytes.size());
    switch (Below(4)) {
      case 0:
        bytes[at] = static_cast<char>(Below(256));
        return;
      case 1:
        bytes.erase(at, 1 + Below(3));
        return;
      case 2:
        bytes.insert(at, bytes.substr(at, 1 + Below(40)));
        return;
      default:
        bytes.insert(at, Piece());
    }
  }

  std::mt19937 random_;
};

// Sends the bytes, and checks that what the target ran is among the requests
// that a strict reader finds in them, in their order.
void CheckFuzzed(const way& by, const std::string& bytes) {
  std::vector<raw_request> sent;
  std::string_view rest = bytes;
  raw_request request;
  while (!rest.empty() && TakeRequest(rest, request) == raw_reading::kWhole)
    sent.push_back(request);
  raw_caller caller(by.address);
  caller.Send(bytes);
  caller.Await(sent.size(), 500ms);
  caller.Await(sent.size() + 1, kSettle);
  caller.EndSending();
  const auto responses = caller.Await(sent.size() + 2);
  const auto served = std::ranges::count(responses, 200, &raw_response::status);
  CHECK(by.target.TakeSpoilt().empty());
  const auto runs = by.target.TakeRuns();
  CHECK(static_cast<std::size_t>(served) <= runs.size());
  auto next = sent.begin();
  for (const auto& run : runs) {
    next = std::find_if(next, sent.end(), [&](const raw_request& each) {
      return each.Values("Request-Id") == run.Values("Request-Id") ||
             each.Values("Request-Id").empty();
    });
    REQUIRE(next != sent.end());
    CheckSame(run, *next++);
  }
}

}  // namespace

// Guards against heads that nobody thought of. More seeds by SAMPHIRE_FUZZ_SEED
// and SAMPHIRE_FUZZ_COUNT.
TEST_CASE("whatever a caller sends, the target runs only what it sent") {
  const auto first = EnvironmentNumber("SAMPHIRE_FUZZ_SEED", 20261207);
  const auto count = EnvironmentNumber("SAMPHIRE_FUZZ_COUNT", 1);
  constexpr int kRequests = 60;
  AllWays([&](const way& by) {
    for (auto seed = first; seed < first + count; ++seed) {
      head_fuzz fuzz(static_cast<std::uint32_t>(seed));
      for (int i = 0; i < kRequests; ++i) {
        const auto odd = Sound("X-Note: a b\r\n", kHidden);
        const auto sound = fuzz.Below(2) == 0 ? odd : SoundInChunks();
        const auto bytes = Sound("", "").bytes + fuzz.Spoil(sound.bytes);
        INFO("seed " << seed << ", request " << i << ": " << bytes);
        CheckFuzzed(by, bytes);
      }
    }
  });
}
