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
    return Gone();
  }
  result<config_update> Pull(const std::string&, std::uint64_t) override {
    return Gone();
  }
  result<std::vector<std::string>> Chunks(
      const std::string&,
      const std::vector<std::string>&) override {
    return Gone();
  }
  result<std::optional<instance_list>> Instances(const std::string&,
                                                 const std::string&) override {
    return Gone();
  }
  static error Gone() { return MakeError(result_code::kPeerUnreachable); }
};

// A watch that waits long would only have the tests wait for its end.
follower_limits ShortWaits() {
  follower_limits limits;
  limits.watch_timeout = 200ms;
  return limits;
}

// One entry that watches the stand-in platform over HTTP.
struct http_entry {
  explicit http_entry(const std::string& address)
      : store({{address}}, clock, registry),
        publisher(store, clock, registry),
        follower(store,
                 peers,
                 clock,
                 registry,
                 ShortWaits(),
                 [this](const auto& image) {
                   std::lock_guard guard(lock);
                   versions.push_back(image->version());
                   told.notify_all();
                 }) {}
  ~http_entry() { follower.Stop(); }

  void Start() {
    follower.SetWatching(true);
    follower.Start();
  }
  void WaitFor(std::uint64_t version) {
    std::unique_lock guard(lock);
    told.wait(guard,
              [&] { return !versions.empty() && versions.back() == version; });
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
  std::condition_variable told;
  std::vector<std::uint64_t> versions;
  config_follower follower;
};

struct http_rig {
  explicit http_rig(std::size_t kept_events = 1000)
      : objects(clock, kept_events),
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

TEST_CASE("over HTTP a change reaches the watchers and survives lost answers") {
  // The platform's answers are lost while an operator applies a change, and
  // entries watch meanwhile, one of them late since the platform is slow.
  http_rig rig;
  http_entry one(rig.address);
  http_entry two(rig.address);
  one.Start();
  rig.server->faults().lose_answers = 2;
  CHECK(one.Apply(1, "id-1").value().version == 1);
  rig.server->faults().slow_ms = 30;
  two.Start();
  CHECK(two.Apply(2, "id-2").value().version == 2);
  one.WaitFor(2);
  two.WaitFor(2);
  CHECK(one.registry.counter("store_errors_total",
                             "reason=\"store-outcome-unknown\"") > 0);
}

TEST_CASE("over HTTP a platform that is down at the start is waited for") {
  // The whole site was switched off; entries come up before the platform does.
  http_rig rig;
  http_entry entry(rig.address);
  REQUIRE(entry.Apply(1, "id-1"));
  rig.SetDown(true);
  http_entry late(rig.address);
  late.Start();
  while (!late.follower.platform_failing())
    std::this_thread::yield();
  CHECK(late.follower.image() == nullptr);
  CHECK(late.Apply(2, "id-2").error().code == result_code::kStoreUnreachable);
  rig.SetDown(false);
  late.WaitFor(1);
}

TEST_CASE("over HTTP an entry that comes back serves nothing older") {
  // An entry is replaced while a change is applied, and the platform's watch
  // has forgotten what happened in between.
  http_rig rig(2);
  http_entry one(rig.address);
  one.Start();
  REQUIRE(one.Apply(1, "id-1"));
  one.WaitFor(1);
  one.follower.Stop();
  for (std::uint32_t n = 2; n <= 5; ++n)
    REQUIRE(one.Apply(n, "id-" + std::to_string(n)));
  http_entry again(rig.address);
  again.Start();
  again.WaitFor(5);
  CHECK(again.versions.front() == 5);
}

TEST_CASE("over HTTP operators who race are each told the truth") {
  // Four operators apply different files at the same moment. Each of those who
  // are told of a version finds their own change under it.
  http_rig rig;
  http_entry first(rig.address);
  REQUIRE(first.Apply(1, "id-0"));
  std::vector<std::unique_ptr<http_entry>> entries;
  entries.reserve(4);
  for (int n = 0; n < 4; ++n)
    entries.push_back(std::make_unique<http_entry>(rig.address));
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
