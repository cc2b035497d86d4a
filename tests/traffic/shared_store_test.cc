#include "traffic/shared_store.h"

#include <atomic>
#include <catch2/catch.hpp>

#include "base/system_clock_source.h"
#include "front/front_server.h"
#include "support/free_address.h"
#include "traffic/handler_factory.h"
#include "traffic/mirror_handler.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// Fails every watch, so a test fails if the store falls back to the platform.
class unreachable_platform final : public object_watcher {
 public:
  result<watch_batch> Watch(const std::string& /*prefix*/,
                            std::uint64_t /*cursor*/,
                            milliseconds /*wait*/) override {
    return MakeError(result_code::kStoreUnreachable);
  }
};

// A follower that has no watchers to query and one backup.
struct backup_fixture {
  system_clock_source clock;
  metrics counters;
  peer_keys keys = peer_keys::Parse("0123456789abcdef0123456789abcdef").value();
  const std::string address = FreeAddress();
  object_relay backup_relay{clock};
  peer_signer backup_signer{keys, {"deputy", 1}, clock};
  std::atomic<int> request_count = 0;
  front_server server{
      address,
      new handler_factory([this](const Poco::Net::HTTPServerRequest&) {
        ++request_count;
        return new mirror_handler(backup_relay, backup_signer, address,
                                  counters);
      }),
      {.max_connections = 4},
      counters};
  unreachable_platform platform;
  object_relay relay{clock};
  connection_pool pool;
  peer_signer signer{keys, {"follower", 1}, clock};
  shared_store store{platform,
                     relay,
                     pool,
                     signer,
                     clock,
                     0ms,
                     [this] {
                       return source_plan{.role = source_role::kFollower,
                                          .watchers = {},
                                          .backups = {address}};
                     },
                     [] { return std::vector<std::string>{}; }};

  backup_fixture() { server.Start(); }
};

}  // namespace

// Guards against followers that poll a backup in a busy loop while the watchers
// cannot reach the platform.
TEST_CASE("a follower pauses before it queries an idle backup again") {
  backup_fixture fixture;
  fixture.backup_relay.Publish(
      "k/", {.cursor = 5, .reset = true, .events = {{"k/a", 3, "A"}}});
  const auto deadline = fixture.clock.now() + 1s;
  while (fixture.clock.now() < deadline)
    REQUIRE(fixture.store.Watch("k/", 5, 1s));
  CHECK(fixture.request_count <= 5);
}

TEST_CASE("a follower receives a change from a backup without delay") {
  backup_fixture fixture;
  fixture.backup_relay.Publish(
      "k/", {.cursor = 6, .reset = true, .events = {{"k/a", 6, "A"}}});
  const auto start = fixture.clock.now();
  const auto batch = fixture.store.Watch("k/", 5, 1s);
  REQUIRE(batch);
  CHECK(batch.value().events.size() == 1);
  CHECK(fixture.clock.now() - start < 200ms);
}
