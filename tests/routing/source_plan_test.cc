#include "traffic/following/source_plan.h"

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

entry_location Place(int i) {
  return {"entry-" + std::to_string(i), "domain-" + std::to_string(i % 3), "a"};
}

}  // namespace

// Guards against a large region in which all entries follow the same watcher:
// its core and link would be fully used by that, and new configurations would
// reach the last entries late.
TEST_CASE("watchers of a region divide its followers") {
  constexpr int kEntries = 100;
  constexpr int kMostFollowers = 70;
  const auto entries = Region(kEntries);
  std::map<std::string, int> followers;
  int watchers = 0;
  for (int i = 0; i < kEntries; ++i) {
    const auto sources = PlanSources(Place(i), entries).watchers;
    if (sources.empty())
      ++watchers;
    else
      ++followers[sources.front()];
  }
  CHECK(watchers == 2);
  CHECK(followers.size() == 2);
  for (const auto& [watcher, count] : followers)
    CHECK(count <= kMostFollowers);
}

// Guards against a follower that keeps an outdated configuration because it
// only ever sends requests to backup watchers that the platform rejects.
TEST_CASE("a follower uses the next backup watchers after a stale round") {
  const std::vector<std::string> backups = {"a", "b", "c", "d"};
  CHECK(BackupsToQuery(backups, 0) == std::vector<std::string>{"a", "b"});
  CHECK(BackupsToQuery(backups, 1) == std::vector<std::string>{"c", "d"});
  CHECK(BackupsToQuery(backups, 2) == std::vector<std::string>{"a", "b"});
  CHECK(BackupsToQuery({"a", "b", "c"}, 1) ==
        std::vector<std::string>{"c", "a"});
  CHECK(BackupsToQuery({"a"}, 3) == std::vector<std::string>{"a"});
  CHECK(BackupsToQuery({}, 1).empty());
}

TEST_CASE("a watcher in the same failure domain is preferred") {
  const auto entries = Region(30);
  std::set<std::string> near;
  for (int i = 0; i < 30; ++i) {
    if (PlanSources(Place(i), entries).watchers.empty())
      near.insert(Place(i).failure_domain);
  }
  for (int i = 0; i < 30; ++i) {
    const auto sources = PlanSources(Place(i), entries).watchers;
    if (sources.empty() || !near.contains(Place(i).failure_domain))
      continue;
    const auto first = std::stoi(sources.front().substr(5));
    CHECK(Place(first).failure_domain == Place(i).failure_domain);
  }
}

TEST_CASE("a small region has one watcher, which follows no other") {
  const auto entries = Region(4);
  int watchers = 0;
  for (int i = 0; i < 4; ++i)
    watchers += PlanSources(Place(i), entries).watchers.empty() ? 1 : 0;
  CHECK(watchers == 1);
}

// Guards against overload of a platform that is unavailable for a moment, so
// that no watcher can provide its state. A hundred entries that each poll it
// make a hundred calls a second and more, all of them when it recovers.
TEST_CASE(
    "only a few backup watchers poll the platform when the watchers fail") {
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
