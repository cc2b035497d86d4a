#include "config/class_matcher.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

using namespace samphire;

namespace {

request_class ClassOf(const std::string& method, const std::string& path) {
  request_class made;
  made.name = method + " " + path;
  made.method = method;
  made.path = path;
  return made;
}

std::string Matched(const service& declared,
                    const std::string& method,
                    const std::string& path) {
  const auto* found = MatchClass(declared, method, path);
  return found == nullptr ? "" : found->name;
}

service Gates() {
  service made;
  made.classes = {ClassOf("*", "/**"),
                  ClassOf("GET", "/gates/*"),
                  ClassOf("POST", "/gates/*/ack"),
                  ClassOf("GET", "/gates/7"),
                  ClassOf("*", "/gates/7"),
                  ClassOf("GET", "/")};
  return made;
}

}  // namespace

TEST_CASE("the most specific class decides, in whatever order they stand") {
  auto gates = Gates();
  for (int turn = 0; turn < 2; ++turn) {
    CHECK(Matched(gates, "GET", "/gates/7") == "GET /gates/7");
    CHECK(Matched(gates, "PUT", "/gates/7?x=/a") == "* /gates/7");
    CHECK(Matched(gates, "GET", "/gates/8") == "GET /gates/*");
    CHECK(Matched(gates, "POST", "/gates/8/ack") == "POST /gates/*/ack");
    CHECK(Matched(gates, "GET", "/gates/8/ack") == "* /**");
    CHECK(Matched(gates, "GET", "/") == "GET /");
    CHECK(Matched(gates, "PUT", "/") == "* /**");
    std::reverse(gates.classes.begin(), gates.classes.end());
  }
}

// A caller spells an acknowledgement with percent signs, doubled slashes or
// dots. Were it taken for a class that may be repeated, a retry would
// acknowledge the gate twice.
TEST_CASE("no spelling of a path slips into a laxer class") {
  const auto gates = Gates();
  CHECK(Matched(gates, "POST", "/gates/7/%61ck") == "POST /gates/*/ack");
  for (const auto* path :
       {"/gates//7/ack", "/gates/7/ack/", "/x/../gates/7/ack", "/./gates",
        "/gates/7%2Fack", "/gates/%2e%2e/ack", "/gates/7/%zz", "/gates/7/a%",
        "/gates/7%5cack", "/gates/%00", "gates/7/ack", "", "*"}) {
    INFO(path);
    CHECK(Matched(gates, "POST", path).empty());
  }
}

TEST_CASE("paths of classes are told from what can be none") {
  for (const auto* path : {"/", "/**", "/a", "/a/*/b", "/a/**", "/*"})
    CHECK(IsClassPath(path));
  for (const auto* path : {"", "a", "/**/a", "/a//b", "/a/", "/..", "/a/./b"})
    CHECK_FALSE(IsClassPath(path));
}
