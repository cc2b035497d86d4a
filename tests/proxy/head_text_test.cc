#include "proxy/head_text.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "proxy/message_head.h"

using namespace samphire;

namespace {

constexpr std::size_t kMaxBytes = 1024;

head_progress Read(head_kind kind, const std::string& bytes) {
  head_text head(kind, kMaxBytes);
  head.Take(bytes);
  return head.progress();
}

const std::string kRequest =
    "GET /x?y=%0a HTTP/1.1\r\nHost: h\r\nX-Note: =?UTF-8?Q?a=0D=0A=0D=0Ab?=\r\n"
    "X-Name: \xc3\xa4 \t\r\nX-Empty:\r\nx-note:  second\r\n\r\n";

}  // namespace

// Guards against a reader that decodes, joins, drops or trims what was sent.
TEST_CASE("a head is read byte for byte, however it is cut") {
  for (std::size_t cut = 0; cut <= kRequest.size(); ++cut) {
    head_text head(head_kind::kRequest, kMaxBytes);
    const auto bytes = kRequest + "GET /next";
    const auto first = head.Take(bytes.substr(0, cut));
    CHECK(first == cut);
    const auto rest = head.Take(bytes.substr(cut));
    CHECK(first + rest == kRequest.size());
    REQUIRE(head.progress() == head_progress::kComplete);
    CHECK(head.text() == kRequest);
    Poco::Net::HTTPRequest request;
    SetFromHead(head, request);
    CHECK(request.getMethod() == "GET");
    CHECK(request.getURI() == "/x?y=%0a");
    CHECK(request.getVersion() == "HTTP/1.1");
    CHECK(ValuesOf(request, "X-Note") ==
          std::vector<std::string>{"=?UTF-8?Q?a=0D=0A=0D=0Ab?=", "second"});
    CHECK(request.get("X-Name") == "\xc3\xa4");
    CHECK(request.get("X-Empty").empty());
    CHECK(request.size() == 5);
  }
}

TEST_CASE("a head is given up at its first byte that can't belong to one") {
  struct cut_head {
    head_kind kind;
    std::string bytes;
  };
  for (const auto& each : std::vector<cut_head>{
           {head_kind::kRequest, std::string("GET /\0", 6)},
           {head_kind::kRequest, "\x16"},
           {head_kind::kRequest, "GET / HTTP/1.1\n"},
           {head_kind::kRequest, "GET / HTTP/1.1\r\nA b\r\n"},
           {head_kind::kRequest, "\r\n\r\n"},
           {head_kind::kResponse, "\r"},
           {head_kind::kResponse, " "},
           {head_kind::kResponse, "HTTP/2"},
           {head_kind::kResponse, "HTTP/1.1 0"},
           {head_kind::kResponse, "HTTP/1.1 6"},
           {head_kind::kResponse, "HTTP/1.1 20 "},
           {head_kind::kResponse, "HTTP/1.1 2000 OK\r\n"},
           {head_kind::kResponse, "HTTP/1.1 200 OK\r\n A: b\r\n"}}) {
    INFO(each.bytes);
    CHECK(Read(each.kind, each.bytes.substr(0, each.bytes.size() - 1)) ==
          head_progress::kIncomplete);
    CHECK(Read(each.kind, each.bytes) == head_progress::kMalformed);
  }
}

// Guards against heads without end that fill the memory.
TEST_CASE("a head is bounded in bytes and in lines") {
  const std::string start = "GET / HTTP/1.1\r\n";
  const auto fill = kMaxBytes - start.size() - 7;
  const auto whole = start + "A: " + std::string(fill, 'a') + "\r\n\r\n";
  REQUIRE(whole.size() == kMaxBytes);
  CHECK(Read(head_kind::kRequest, whole) == head_progress::kComplete);
  CHECK(Read(head_kind::kRequest, start + "A: a" + whole.substr(19)) ==
        head_progress::kTooLong);
  head_text lines(head_kind::kRequest, std::size_t{1} << 20U);
  lines.Take(start);
  for (int i = 0; i < head_text::kMaxFields; ++i)
    lines.Take("A: b\r\n");
  CHECK(lines.progress() == head_progress::kIncomplete);
  lines.Take("A: b\r\n");
  CHECK(lines.progress() == head_progress::kTooLong);
}

TEST_CASE("the connection is kept as its lists of options say") {
  struct option_case {
    std::string version;
    std::vector<std::string> options;
    bool kept;
  };
  for (const auto& each :
       std::vector<option_case>{{"HTTP/1.1", {}, true},
                                {"HTTP/1.0", {}, false},
                                {"HTTP/1.1", {"close"}, false},
                                {"HTTP/1.1", {"X-Hop, Close"}, false},
                                {"HTTP/1.1", {"X-Hop", " CLOSE ,,"}, false},
                                {"HTTP/1.0", {"X-Hop"}, false},
                                {"HTTP/1.0", {"x, Keep-Alive"}, true},
                                {"HTTP/1.0", {"keep-alive", "close"}, false}}) {
    Poco::Net::HTTPRequest request("GET", "/", each.version);
    for (const auto& option : each.options)
      request.add("Connection", option);
    CHECK(KeepsConnection(request) == each.kept);
  }
}
