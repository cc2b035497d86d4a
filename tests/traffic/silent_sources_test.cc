#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <list>
#include <string>
#include <thread>
#include <vector>

#include "traffic/watching_entry.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// Within this time a change is to be in force at an entry that reaches any
// source.
constexpr milliseconds kLimit{2500};

// Peers that accept connections and never respond.
class silent_peers {
 public:
  std::vector<std::string> Add(std::size_t count) {
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < count; ++i) {
      sockets_.emplace_back(Poco::Net::SocketAddress("127.0.0.1", 0), 64);
      addresses.push_back(sockets_.back().address().toString());
    }
    return addresses;
  }

 private:
  std::list<Poco::Net::ServerSocket> sockets_;
};

// Fails the first watches, and then reports a change at once.
class recovering_platform final : public object_watcher {
 public:
  std::atomic<int> failures = 0;
  result<watch_batch> Watch(const std::string& /*prefix*/,
                            store_cursor cursor,
                            milliseconds /*wait*/) override {
    if (failures > 0) {
      --failures;
      return MakeError(result_code::kStoreUnreachable);
    }
    return watch_batch{.cursor = {cursor.revision + 1},
                       .reset = false,
                       .events = {{"k/a", cursor.revision + 1, "A"}}};
  }
};

struct entry_fixture : watching_entry<recovering_platform> {
  silent_peers peers;

  // Watches until a batch arrives, as a follower does.
  milliseconds TimeUntilChange(store_cursor cursor) {
    const auto start = clock.now();
    while (!store.Watch("k/", cursor, 3s))
      std::this_thread::sleep_for(500ms);
    return std::chrono::duration_cast<milliseconds>(clock.now() - start);
  }
};

}  // namespace

// Guards against an entry that asks silent sources one after the other, each
// for its whole time, and goes by old evacuations meanwhile.
TEST_CASE("an entry whose peers are all silent asks the store in time") {
  entry_fixture entry;
  entry.plan = {.role = source_role::kFollower,
                .watchers = entry.peers.Add(2),
                .backups = entry.peers.Add(4),
                .substitutes = {}};
  CHECK(entry.TimeUntilChange(5) < kLimit);
}

// Guards against the same each time that the pause of silent peers ends.
TEST_CASE("an entry whose peers stay silent hears the store all the while") {
  entry_fixture entry;
  entry.plan = {.role = source_role::kFollower,
                .watchers = entry.peers.Add(2),
                .backups = entry.peers.Add(4),
                .substitutes = {}};
  const auto end = entry.clock.now() + 12s;
  milliseconds longest{0};
  for (std::uint64_t revision = 5; entry.clock.now() < end; ++revision) {
    longest = std::max(longest, entry.TimeUntilChange(revision));
    std::this_thread::sleep_for(50ms);
  }
  CHECK(longest < kLimit);
}

// Guards against a watcher that asks all its silent substitutes before it asks
// the store again, while its region waits for it.
TEST_CASE("a watcher whose substitutes are silent asks the store again soon") {
  entry_fixture entry;
  entry.plan = {.role = source_role::kWatcher,
                .watchers = {},
                .backups = {},
                .substitutes = entry.peers.Add(5)};
  entry.platform.failures = 1;
  CHECK(entry.TimeUntilChange(5) < kLimit);
}
