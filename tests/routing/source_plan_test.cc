#include "traffic/source_plan.h"

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
    const auto asked = PlanSources(Place(i), entries).watchers;
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

// Guards against a follower that keeps an outdated configuration because it
// only ever asks deputies that the platform rejects.
TEST_CASE("a follower asks the next deputies after a stale round") {
  const std::vector<std::string> backups = {"a", "b", "c", "d"};
  CHECK(BackupsToQuery(backups, 0) == std::vector<std::string>{"a", "b"});
  CHECK(BackupsToQuery(backups, 1) == std::vector<std::string>{"c", "d"});
  CHECK(BackupsToQuery(backups, 2) == std::vector<std::string>{"a", "b"});
  CHECK(BackupsToQuery({"a", "b", "c"}, 1) ==
        std::vector<std::string>{"c", "a"});
  CHECK(BackupsToQuery({"a"}, 3) == std::vector<std::string>{"a"});
  CHECK(BackupsToQuery({}, 1).empty());
}

TEST_CASE("a watcher of the own failure domain is asked first") {
  const auto entries = Region(30);
  std::set<std::string> near;
  for (int i = 0; i < 30; ++i) {
    if (PlanSources(Place(i), entries).watchers.empty())
      near.insert(Place(i).failure_domain);
  }
  for (int i = 0; i < 30; ++i) {
    const auto asked = PlanSources(Place(i), entries).watchers;
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
    watchers += PlanSources(Place(i), entries).watchers.empty() ? 1 : 0;
  CHECK(watchers == 1);
}

// The platform is away for a moment and no watcher can tell. A hundred entries
// that each ask it themselves are a hundred calls a second and more, and it
// comes back to all of them at once.
TEST_CASE("a few deputies ask the platform when the watchers can't tell") {
  const auto entries = Region(100);
  std::map<source_role, int> roles;
  std::set<std::string> backups;
  for (int i = 0; i < 100; ++i) {
    const auto plan = PlanSources(Place(i), entries);
    ++roles[plan.role];
    if (plan.role == source_role::kFollower) {
      CHECK(plan.backups.size() == 4);
      backups.insert(plan.backups.begin(), plan.backups.end());
    }
  }
  CHECK(roles[source_role::kWatcher] == 2);
  CHECK(roles[source_role::kBackup] == 4);
  CHECK(backups.size() == 4);
}
