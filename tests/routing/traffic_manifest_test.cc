#include "routing/traffic_manifest.h"

#include <catch2/catch.hpp>

using namespace samphire;

namespace {

traffic_route Route(const std::string& host, const std::string& prefix) {
  traffic_route route;
  route.name = host + prefix;
  route.host = host;
  route.path_prefix = prefix;
  return route;
}

}  // namespace

TEST_CASE("the longest prefix of the host's routes is chosen") {
  const traffic_manifest manifest(
      1, {},
      {Route("h", "/"), Route("h", "/a/"), Route("h", "/a/b/"),
       Route("other", "/a/b/c/")},
      {});
  const auto name = [&](const char* host, const char* path) {
    const auto* route = manifest.FindRoute(host, path);
    return route == nullptr ? std::string("none") : route->name;
  };
  CHECK(name("h", "/a/b/c/d") == "h/a/b/");
  CHECK(name("h:8080", "/a/x?to=/a/b/") == "h/a/");
  CHECK(name("h", "/ab/") == "h/");
  CHECK(name("h", "/a") == "h/");
  CHECK(name("nobody", "/a/") == "none");
  CHECK(name("other", "/a/b/") == "none");
  CHECK(name("h", "") == "none");
}
