#include "config/json_text.h"

#include <catch2/catch.hpp>
#include <string>

using namespace samphire;

namespace {

struct bad_text {
  std::string text;
  result_code code;
  // Text that the detail or the pointer must contain, so that an operator can
  // locate the fault.
  std::string place;
};

std::string Nested(std::size_t depth) {
  return "{\"a\":" + std::string(depth - 1, '[') + std::string(depth - 1, ']') +
         "}";
}

}  // namespace

// An operator submits a corrupt or wrong file. The error must hold a result
// code and the location of the fault, and no part of the file may take effect.
TEST_CASE("each kind of unreadable text has its code and location") {
  using enum result_code;
  const std::string long_text(kMaxJsonStringBytes + 1, 'x');
  const bad_text cases[] = {
      {"", kFileEmpty, "nothing"},
      {" \n\t", kFileEmpty, "nothing"},
      {std::string(kMaxJsonBytes + 1, ' ') + "{}", kFileTooLarge, "bytes"},
      {"{\"a\":\n \"\xff\"}", kNotUtf8, "line 2, column 2"},
      {"{\"a\":\"\xc0\xaf\"}", kNotUtf8, "line 1"},
      {"{\"a\":\"\xed\xa0\x80\"}", kNotUtf8, "line 1"},
      {"{\"a\":\"\xe2\x82", kNotUtf8, "line 1"},
      {"{\"a\":1", kJsonSyntax, "line 1, column 6"},
      {"{\n\"a\": tru}\n ", kJsonSyntax, "line 2, column 9"},
      {"{\"a\":1}]", kJsonSyntax, "line 1"},
      {"{\"a\":1} {}", kJsonSyntax, "line 1"},
      {"{\"a\":1,}", kJsonSyntax, "line 1"},
      {"// no\n{}", kJsonSyntax, "line 1, column 1"},
      {"{'a':1}", kJsonSyntax, "line 1"},
      {"{\"a\":01}", kJsonSyntax, "line 1"},
      {"{\"a\":NaN}", kJsonSyntax, "line 1"},
      {"{\"a\":\"\\ud800\"}", kJsonSyntax, "line 1"},
      {"{\"a\":\"\\u0000\"}", kJsonSyntax, "/a"},
      {"7", kJsonSyntax, ""},
      {"null", kJsonSyntax, ""},
      {"[]", kSchemaViolation, "object"},
      {Nested(kMaxJsonDepth + 1), kJsonTooDeep, "/a/0/0"},
      {std::string(1 << 20, '['), kJsonTooDeep, "/0/0"},
      {"{\"a\":{\"b~/\":1,\"b~/\":2}}", kJsonDuplicateKey, "/a/b~0~1"},
      {"[{\"a\":1},{\"a\":1,\"a\":1}]", kJsonDuplicateKey, "/1/a"},
      {"{\"a\":[1,99999999999999999999]}", kValueOutOfRange, "/a/1"},
      {"{\"a\":1e400}", kValueOutOfRange, "/a"},
      {"{\"a\":\"" + long_text + "\"}", kValueOutOfRange, "/a"},
  };
  for (const auto& one : cases) {
    INFO(one.text.substr(0, 60));
    const auto read = ReadJsonText(one.text);
    REQUIRE(read.has_error());
    INFO(read.error().detail << " at " << read.error().pointer);
    CHECK(NameOf(read.error().code) == NameOf(one.code));
    const auto message = read.error().detail + " " + read.error().pointer;
    CHECK(message.find(one.place) != std::string::npos);
  }
}

TEST_CASE("texts within the bounds are read") {
  CHECK(ReadJsonText(Nested(kMaxJsonDepth)).has_value());
  CHECK(ReadJsonText("{\"a\":18446744073709551615}").has_value());
  CHECK(ReadJsonText(" {\"\xc3\xa1gua\":\"n\xc3\xadvel \xf0\x9f\x8c\xa7\"} \n")
            .has_value());
}

// Eight megabytes of empty objects would take gigabytes once parsed, and the
// entry that an operator sends them to would run out of memory.
TEST_CASE("a text with too many values is refused") {
  std::string text = "{\"a\":[";
  for (std::size_t i = 0; i < kMaxJsonValues; ++i)
    text += "{},";
  text += "{}]}";
  const auto read = ReadJsonText(text);
  REQUIRE(read.has_error());
  CHECK(read.error().code == result_code::kFileTooLarge);
}
