#include "proxy/body_reader.h"

#include <Poco/Net/HTTPResponse.h>

#include <array>
#include <catch2/catch.hpp>
#include <sstream>
#include <string>

using namespace samphire;

namespace {

struct read_outcome {
  std::string body;
  result_code end = result_code::kOk;
};

read_outcome ReadAll(const std::string& bytes, body_framing framing) {
  std::istringstream input(bytes);
  body_reader reader(input, framing);
  read_outcome outcome;
  std::array<char, 7> buffer{};
  while (true) {
    const auto got = reader.Read(buffer);
    if (!got) {
      outcome.end = got.error().code;
      return outcome;
    }
    if (got.value() == 0)
      return outcome;
    outcome.body.append(buffer.data(), got.value());
  }
}

}  // namespace

TEST_CASE("complete bodies are read unchanged") {
  CHECK(ReadAll("0123456789rest", fixed_length_body{10}).body == "0123456789");
  const auto chunked =
      ReadAll("5\r\nhello\r\n1;x=y\r\n \r\n5\r\nworld\r\n0\r\nT: 1\r\n\r\n",
              chunked_body{});
  CHECK(chunked.body == "hello world");
  CHECK(chunked.end == result_code::kOk);
  CHECK(ReadAll("next answer", no_body{}).body.empty());
}

TEST_CASE("a truncated response is never reported as complete") {
  // A target crashes in the middle of its response and the connection closes. A
  // dashboard that took the truncated body for the complete one would show a
  // reading that was never sent.
  const std::string complete = "5\r\nhello\r\n5\r\nworld\r\n0\r\n\r\n";
  for (std::size_t cut = 0; cut < complete.size(); ++cut) {
    INFO("cut after " << cut << " bytes");
    CHECK(ReadAll(complete.substr(0, cut), chunked_body{}).end ==
          result_code::kAnswerTruncated);
  }
  for (std::size_t cut = 0; cut < 10; ++cut) {
    CHECK(ReadAll(std::string(cut, 'x'), fixed_length_body{10}).end ==
          result_code::kAnswerTruncated);
  }
}

TEST_CASE("invalid chunk heads make the response truncated") {
  for (const auto* bytes :
       {"zz\r\nhello\r\n0\r\n\r\n", "\r\n", "-1\r\nx",
        "5\r\nhelloXX5\r\nworld\r\n0\r\n\r\n",
        "fffffffffffffffff\r\nx\r\n0\r\n\r\n", "0x5\r\nhello\r\n0\r\n\r\n",
        "5 \r\nhello\r\n0\r\n\r\n", "5\nhello\r\n0\r\n\r\n",
        "5;\x01\r\nhello\r\n0\r\n\r\n", "0\r\nhello\r\n0\r\n\r\n",
        "0\r\n: x\r\n\r\n", "0\r\n\n"}) {
    CHECK(ReadAll(bytes, chunked_body{}).end == result_code::kAnswerTruncated);
  }
  CHECK(ReadAll(std::string(100'000, '1'), chunked_body{}).end ==
        result_code::kAnswerTruncated);
}

TEST_CASE("a response with contradictory lengths is refused") {
  Poco::Net::HTTPResponse head;
  CHECK(std::holds_alternative<until_close_body>(
      ParseResponseFraming(head, false).value()));
  head.setContentLength(5);
  head.setChunkedTransferEncoding(true);
  head.set("Content-Length", "5");
  CHECK(ParseResponseFraming(head, false).error().code ==
        result_code::kTargetFailed);
  CHECK(std::holds_alternative<no_body>(
      ParseResponseFraming(head, true).value()));
}
