#include "routing/route_table.h"

#include <catch2/catch.hpp>
#include <string>

using namespace samphire;

namespace {

route_ptr Route(const std::string& host,
                const std::string& prefix,
                const std::string& name) {
  traffic_route route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  return route_ptr(new shared_route(std::move(route)));
}

std::string NameAt(const route_table& table,
                   const char* host,
                   const char* path) {
  const auto* route = table.Find(host, path);
  return route == nullptr ? "none" : route->name;
}

}  // namespace

TEST_CASE("a changed table has the added routes and not the removed ones") {
  const auto a = Route("h", "/a/", "a");
  const auto b = Route("h", "/b/", "b");
  const auto other = Route("i", "/a/", "other");
  const route_table before({a, b, other});
  const auto after = before.WithChanges(
      {b, a}, {Route("h", "/c/", "c"), Route("h", "/a/", "new a")});
  CHECK(after.size() == 3);
  CHECK(NameAt(after, "h", "/a/x") == "new a");
  CHECK(NameAt(after, "h", "/b/x") == "none");
  CHECK(NameAt(after, "h", "/c/x") == "c");
  CHECK(after.Find("i", "/a/") == &other->route);
  CHECK(NameAt(before, "h", "/a/x") == "a");
  CHECK(NameAt(before, "h", "/b/x") == "b");
}

TEST_CASE("an added route replaces the one of the same host and prefix") {
  const route_table before({Route("h", "/a/", "first")});
  const auto after = before.WithChanges({}, {Route("h", "/a/", "second")});
  CHECK(after.size() == 1);
  CHECK(NameAt(after, "h", "/a/") == "second");
}

TEST_CASE("of routes with the same host and prefix the last is used") {
  const route_table table({Route("h", "/a/", "first"), Route("h", "/", "root"),
                           Route("h", "/a/", "last")});
  CHECK(table.size() == 2);
  CHECK(NameAt(table, "h", "/a/") == "last");
  CHECK(NameAt(table, "h", "/b/") == "root");
}
