#include <algorithm>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "base/system_clock_source.h"
#include "config/config_test_support.h"
#include "distribution/config_follower.h"
#include "distribution/config_publisher.h"
#include "store/http_object_store.h"
#include "store/stand_in_server.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

struct no_peers final : config_peer_source {
  std::vector<std::string> Peers() override { return {}; }
  result<peer_config> QueryConfig(const std::string&) override {
    return UnreachableError();
  }
  result<config_update> Pull(const std::string&, std::uint64_t) override {
    return UnreachableError();
  }
  result<std::vector<std::string>> Chunks(
      const std::string&,
      const std::vector<std::string>&) override {
    return UnreachableError();
  }
  result<std::optional<instance_list>> Instances(const std::string&,
                                                 const std::string&) override {
    return UnreachableError();
  }
  static error UnreachableError() {
    return MakeError(result_code::kPeerUnreachable);
  }
};

// Long waits of watches would only prolong the tests.
follower_limits ShortWatchLimits() {
  follower_limits limits;
  limits.watch_timeout = 200ms;
  return limits;
}

// An entry that watches the stand-in platform over HTTP and publishes
// configurations.
struct http_entry {
  explicit http_entry(const std::string& address)
      : store({{address}}, clock, registry),
        publisher(store, clock, registry),
        follower(store,
                 peers,
                 clock,
                 registry,
                 ShortWatchLimits(),
                 [this](const auto& image) {
                   std::lock_guard guard(lock);
                   versions.push_back(image->version());
                   version_changed.notify_all();
                 }) {}
  ~http_entry() { follower.Stop(); }

  void Start() {
    follower.SetWatching(true);
    follower.Start();
  }
  void WaitFor(std::uint64_t version) {
    std::unique_lock guard(lock);
    version_changed.wait(
        guard, [&] { return !versions.empty() && versions.back() == version; });
  }
  result<apply_receipt> Apply(std::uint32_t n, const std::string& id) {
    auto declared = Example("nivel-claro");
    declared.limits.max_attempts = n;
    return publisher.Apply(declared, {id, "ana", {}});
  }

  system_clock_source clock;
  metrics registry;
  no_peers peers;
  http_object_store store;
  config_publisher publisher;
  std::mutex lock;
  std::condition_variable version_changed;
  std::vector<std::uint64_t> versions;
  config_follower follower;
};

struct http_fixture {
  explicit http_fixture(std::size_t max_logged_events = 1000)
      : objects(clock, max_logged_events),
        server(std::make_unique<stand_in_server>("127.0.0.1:0", objects)),
        address(server->address()) {}
  void SetDown(bool down) {
    if (down)
      server.reset();
    else
      server = std::make_unique<stand_in_server>(address, objects);
  }

  system_clock_source clock;
  stand_in_objects objects;
  std::unique_ptr<stand_in_server> server;
  const std::string address;
};

}  // namespace

TEST_CASE("over HTTP a change reaches the watchers despite lost responses") {
  // The platform's responses are lost while an operator applies a change and
  // entries watch, one of them late because the platform is slow.
  http_fixture fixture;
  http_entry one(fixture.address);
  http_entry two(fixture.address);
  one.Start();
  fixture.server->faults().drop_responses = 2;
  CHECK(one.Apply(1, "id-1").value().version == 1);
  fixture.server->faults().slow_ms = 30;
  two.Start();
  CHECK(two.Apply(2, "id-2").value().version == 2);
  one.WaitFor(2);
  two.WaitFor(2);
  CHECK(one.registry.counter("store_errors_total",
                             "reason=\"store-outcome-unknown\"") > 0);
}

TEST_CASE("over HTTP an entry waits for a platform that is down at startup") {
  // After a complete shutdown, entries start before the platform does.
  http_fixture fixture;
  http_entry entry(fixture.address);
  REQUIRE(entry.Apply(1, "id-1"));
  fixture.SetDown(true);
  http_entry late(fixture.address);
  late.Start();
  while (!late.follower.platform_failing())
    std::this_thread::yield();
  CHECK(late.follower.image() == nullptr);
  CHECK(late.Apply(2, "id-2").error().code == result_code::kStoreUnreachable);
  fixture.SetDown(false);
  late.WaitFor(1);
}

TEST_CASE("over HTTP a restarted entry serves no older configuration") {
  // An entry is replaced while changes are applied, and the platform's watch
  // log no longer contains the changes made in between.
  http_fixture fixture(2);
  http_entry one(fixture.address);
  one.Start();
  REQUIRE(one.Apply(1, "id-1"));
  one.WaitFor(1);
  one.follower.Stop();
  for (std::uint32_t n = 2; n <= 5; ++n)
    REQUIRE(one.Apply(n, "id-" + std::to_string(n)));
  http_entry again(fixture.address);
  again.Start();
  again.WaitFor(5);
  CHECK(again.versions.front() == 5);
}

TEST_CASE("over HTTP concurrent operators each get the correct result") {
  // Four operators apply different files concurrently. Each one that receives a
  // version finds its own change under that version.
  http_fixture fixture;
  http_entry first(fixture.address);
  REQUIRE(first.Apply(1, "id-0"));
  std::vector<std::unique_ptr<http_entry>> entries;
  entries.reserve(4);
  for (int n = 0; n < 4; ++n)
    entries.push_back(std::make_unique<http_entry>(fixture.address));
  std::vector<std::uint64_t> versions(4);
  std::vector<std::thread> operators;
  for (std::size_t n = 0; n < 4; ++n) {
    operators.emplace_back([&, n] {
      const auto done = entries[n]->Apply(static_cast<std::uint32_t>(n + 2),
                                          "id-r" + std::to_string(n));
      versions[n] = done ? done.value().version : 0;
    });
  }
  for (auto& one : operators)
    one.join();
  const auto history = first.publisher.Current().value()->History();
  std::size_t accepted = 0;
  for (std::size_t n = 0; n < 4; ++n) {
    for (const auto& change : history) {
      if (change.apply_id == "id-r" + std::to_string(n)) {
        ++accepted;
        CHECK(change.version == versions[n]);
      }
    }
  }
  CHECK(accepted >= 1);
  const auto refused = std::count(versions.begin(), versions.end(), 0U);
  CHECK(accepted + static_cast<std::size_t>(refused) == 4);
  CHECK(history.size() == accepted + 1);
}
