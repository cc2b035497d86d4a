#include "base/json_cursor.h"

#include <catch2/catch.hpp>
#include <string>

using namespace samphire;

namespace {

// Whether the text is one value and nothing else.
bool IsOneValue(std::string_view text) {
  json_cursor cursor(text);
  cursor.SkipValue();
  return cursor.AtEnd();
}

}  // namespace

TEST_CASE("members and elements are visited in order") {
  json_cursor cursor(R"( {"a" : [1, {"x":"]"}, [] ], "b":"q\"}" , "c":{} } )");
  REQUIRE(cursor.EnterObject());
  CHECK(cursor.NextMember() == "a");
  REQUIRE(cursor.EnterArray());
  REQUIRE(cursor.NextElement());
  CHECK(cursor.SkipValue() == "1");
  REQUIRE(cursor.NextElement());
  CHECK(cursor.SkipValue() == R"({"x":"]"})");
  REQUIRE(cursor.NextElement());
  CHECK(cursor.SkipValue() == "[]");
  CHECK_FALSE(cursor.NextElement());
  CHECK(cursor.NextMember() == "b");
  CHECK(cursor.SkipValue() == R"("q\"}")");
  CHECK(cursor.NextMember() == "c");
  REQUIRE(cursor.EnterObject());
  CHECK_FALSE(cursor.NextMember());
  CHECK_FALSE(cursor.NextMember());
  CHECK(cursor.AtEnd());
}

// Guards against a text that was cut off, or whose brackets don't match, being
// taken for a complete one.
TEST_CASE("malformed text fails at every place where it may be cut") {
  const std::string whole = R"({"a":[1,{"b":"x\\"}],"c":true})";
  CHECK(IsOneValue(whole));
  for (std::size_t length = 0; length < whole.size(); ++length)
    CHECK_FALSE(IsOneValue(whole.substr(0, length)));
  for (const char* text : {"[}", "{]", "[1]]", "{\"a\":1}}", "tru", "nope",
                           "\"", "\"\\", "]", "}", ","})
    CHECK_FALSE(IsOneValue(text));
  for (const std::size_t depth : {1000, 1'000'000}) {
    CHECK_FALSE(
        IsOneValue(std::string(depth, '[') + std::string(depth - 1, ']')));
    CHECK_FALSE(
        IsOneValue(std::string(depth, '[') + std::string(depth + 1, ']')));
    CHECK_FALSE(IsOneValue(std::string(depth, '[') + '}' +
                           std::string(depth - 1, ']')));
  }
}

// Guards against a deeply nested value that makes everything around it
// unreadable, or uses up the stack.
TEST_CASE("a value of any depth is skipped, and what follows it is read") {
  for (const std::size_t depth : {1, 126, 127, 128, 129, 1000, 1'000'000}) {
    CAPTURE(depth);
    std::string deep;
    for (std::size_t i = 0; i < depth; ++i)
      deep += i % 2 == 0 ? "[" : R"({"a":)";
    deep += "7";
    for (std::size_t i = depth; i > 0; --i)
      deep += i % 2 == 1 ? "]" : "}";
    const auto list = R"([{"x":1},)" + deep + R"(,"last"])";
    json_cursor cursor(list);
    REQUIRE(cursor.EnterArray());
    REQUIRE(cursor.NextElement());
    CHECK(cursor.SkipValue() == R"({"x":1})");
    REQUIRE(cursor.NextElement());
    CHECK(cursor.SkipValue() == deep);
    REQUIRE(cursor.NextElement());
    CHECK(cursor.SkipValue() == R"("last")");
    CHECK_FALSE(cursor.NextElement());
    CHECK(cursor.AtEnd());
  }
}

TEST_CASE("missing commas and colons fail where members are entered") {
  for (const char* text :
       {R"({"a" 1})", R"({"a":1 "b":2})", R"({,"a":1})", R"({a:1})", "[]"})
    CHECK_FALSE(FindJsonMember(text, "b"));
  CHECK(FindJsonMember(R"({"a":1,"b":2})", "b") == "2");
  json_cursor cursor("[1 2]");
  REQUIRE(cursor.EnterArray());
  REQUIRE(cursor.NextElement());
  cursor.SkipValue();
  CHECK_FALSE(cursor.NextElement());
  CHECK(cursor.failed());
}

TEST_CASE("only a value that is written the same is skipped as equal") {
  json_cursor cursor(R"([{"a":1},{"a":2}])");
  REQUIRE(cursor.EnterArray());
  REQUIRE(cursor.NextElement());
  CHECK_FALSE(cursor.SkipIfEqual(R"({"a":2})"));
  CHECK(cursor.SkipIfEqual(R"({"a":1})"));
  REQUIRE(cursor.NextElement());
  CHECK(cursor.SkipIfEqual(R"({"a":2})"));
  CHECK_FALSE(cursor.NextElement());
  CHECK(cursor.AtEnd());
}

// Guards against a malformed array that is read without end, until the memory
// is used up: whoever walks over it stops at the first call that returns false.
TEST_CASE("nothing follows once the text has failed") {
  for (const char* text : {"[x]", "7", "[", "[{]"}) {
    json_cursor cursor(text);
    cursor.EnterArray();
    int elements = 0;
    while (elements < 10 && cursor.NextElement()) {
      cursor.SkipValue();
      ++elements;
    }
    CAPTURE(text);
    CHECK(cursor.failed());
    CHECK(elements <= 1);
    CHECK_FALSE(cursor.NextElement());
    CHECK_FALSE(cursor.NextMember());
  }
}

// Guards against a list of which only the part before an error is used, such as
// the home regions of a route.
TEST_CASE("a skipped value with missing commas or colons fails") {
  for (const char* text : {R"(["a" "b"])", R"({"a" 1})", R"({"a":1 "b":2})",
                           R"([{"a":[1,]}])", R"([1,,2])", "{1:2}"})
    CHECK_FALSE(IsOneValue(text));
}
