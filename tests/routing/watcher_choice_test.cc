#include "traffic/watcher_choice.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

using namespace samphire;

namespace {

entry_list Region(int count) {
  entry_list entries;
  for (int i = 0; i < count; ++i) {
    entries.names.push_back("entry-" + std::to_string(i));
    entries.failure_domains.push_back("domain-" + std::to_string(i % 3));
    entries.peer_addresses.push_back("peer-" + std::to_string(i));
  }
  return entries;
}

entry_place Place(int i) {
  return {"entry-" + std::to_string(i), "domain-" + std::to_string(i % 3), "a"};
}

}  // namespace

// Everybody in a large region follows the same watcher, whose core and link are
// then busy with nothing else; new configurations reach the last entries late.
TEST_CASE("watchers of a region share its followers") {
  constexpr int kEntries = 100;
  constexpr int kMostFollowers = 70;
  const auto entries = Region(kEntries);
  std::map<std::string, int> followers;
  int watchers = 0;
  for (int i = 0; i < kEntries; ++i) {
    const auto asked = WatchersFor(Place(i), entries);
    if (asked.empty())
      ++watchers;
    else
      ++followers[asked.front()];
  }
  CHECK(watchers == 2);
  CHECK(followers.size() == 2);
  for (const auto& [watcher, count] : followers)
    CHECK(count <= kMostFollowers);
}

TEST_CASE("a watcher of the own failure domain is asked first") {
  const auto entries = Region(30);
  std::set<std::string> near;
  for (int i = 0; i < 30; ++i) {
    if (WatchersFor(Place(i), entries).empty())
      near.insert(Place(i).failure_domain);
  }
  for (int i = 0; i < 30; ++i) {
    const auto asked = WatchersFor(Place(i), entries);
    if (asked.empty() || !near.contains(Place(i).failure_domain))
      continue;
    const auto first = std::stoi(asked.front().substr(5));
    CHECK(Place(first).failure_domain == Place(i).failure_domain);
  }
}

TEST_CASE("a small region has one watcher, which asks nobody") {
  const auto entries = Region(4);
  int watchers = 0;
  for (int i = 0; i < 4; ++i)
    watchers += WatchersFor(Place(i), entries).empty() ? 1 : 0;
  CHECK(watchers == 1);
}
