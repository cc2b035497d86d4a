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

std::string MatchedClassName(const service& declared,
                             const std::string& method,
                             const std::string& path) {
  const auto* found = MatchClass(declared, method, path);
  return found == nullptr ? "" : found->name;
}

service GateService() {
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

TEST_CASE("the most specific class matches, independent of declaration order") {
  auto gates = GateService();
  for (int turn = 0; turn < 2; ++turn) {
    CHECK(MatchedClassName(gates, "GET", "/gates/7") == "GET /gates/7");
    CHECK(MatchedClassName(gates, "PUT", "/gates/7?x=/a") == "* /gates/7");
    CHECK(MatchedClassName(gates, "GET", "/gates/8") == "GET /gates/*");
    CHECK(MatchedClassName(gates, "POST", "/gates/8/ack") ==
          "POST /gates/*/ack");
    CHECK(MatchedClassName(gates, "GET", "/gates/8/ack") == "* /**");
    CHECK(MatchedClassName(gates, "GET", "/") == "GET /");
    CHECK(MatchedClassName(gates, "PUT", "/") == "* /**");
    std::reverse(gates.classes.begin(), gates.classes.end());
  }
}

// A caller may write the path of an acknowledgement with percent-encoding,
// doubled slashes or dot segments. If it matched a repeatable class, a retry
// would acknowledge the gate twice.
TEST_CASE("alternative spellings of a path do not match a repeatable class") {
  const auto gates = GateService();
  CHECK(MatchedClassName(gates, "POST", "/gates/7/%61ck") ==
        "POST /gates/*/ack");
  for (const auto* path :
       {"/gates//7/ack", "/gates/7/ack/", "/x/../gates/7/ack", "/./gates",
        "/gates/7%2Fack", "/gates/%2e%2e/ack", "/gates/7/%zz", "/gates/7/a%",
        "/gates/7%5cack", "/gates/%00", "gates/7/ack", "", "*"}) {
    INFO(path);
    CHECK(MatchedClassName(gates, "POST", path).empty());
  }
}

TEST_CASE("class paths are distinguished from invalid patterns") {
  for (const auto* path : {"/", "/**", "/a", "/a/*/b", "/a/**", "/*"})
    CHECK(IsClassPath(path));
  for (const auto* path : {"", "a", "/**/a", "/a//b", "/a/", "/..", "/a/./b"})
    CHECK_FALSE(IsClassPath(path));
}
