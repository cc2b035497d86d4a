#include "traffic/following/shared_store.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

#include "front/front_server.h"
#include "front/response_writer.h"
#include "gateway/peer_post.h"
#include "support/free_address.h"
#include "traffic/following/mirror_handler.h"
#include "traffic/handler_factory.h"
#include "traffic/watching_entry.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// Fails every watch, so a test fails if the store falls back to the platform.
class unreachable_platform final : public object_watcher {
 public:
  result<watch_batch> Watch(const std::string& /*prefix*/,
                            store_cursor /*cursor*/,
                            milliseconds /*wait*/) override {
    return MakeError(result_code::kStoreUnreachable);
  }
};

// A follower of one peer.
struct follower_fixture : watching_entry<unreachable_platform> {
  metrics counters;
  const std::string address = FreeAddress();
  object_relay peer_relay{clock};
  peer_signer source_signer{keys, {"deputy", 1}, clock};
  std::atomic<int> request_count = 0;
  // Time that each call waits before the peer handles it.
  std::atomic<milliseconds> delay{0ms};
  front_server server{
      address,
      new handler_factory([this](const Poco::Net::HTTPServerRequest&) {
        ++request_count;
        std::this_thread::sleep_for(delay.load());
        return new mirror_handler(peer_relay, source_signer, address, counters);
      }),
      {.max_connections = 8},
      counters};

  follower_fixture() { server.Start(); }
};

// A follower that has no watchers to query and one backup.
struct backup_fixture : follower_fixture {
  backup_fixture() { plan.backups = {address}; }
};

// Responds to each request as an entry does that knows no patches.
class earlier_version_handler final : public Poco::Net::HTTPRequestHandler {
 public:
  void handleRequest(Poco::Net::HTTPServerRequest& request,
                     Poco::Net::HTTPServerResponse& response) override {
    const auto body = static_cast<front_request&>(request).ReadBody(
        4096, std::chrono::steady_clock::now() + 1s);
    if (!body)
      return;
    const watch_batch batch{
        .cursor = 6, .reset = false, .events = {{"k/a", 6, "A"}}};
    WriteBody(response, "application/octet-stream", EncodeBinary(batch));
  }
};

const std::string kLargeValue(10'000, 'v');

}  // namespace

// Guards against a rolling upgrade in which entries of two versions can't
// follow each other.
TEST_CASE("a peer that accepts no patches gets complete values") {
  backup_fixture fixture;
  fixture.peer_relay.Publish(
      "k/", {.cursor = 6, .reset = true, .events = {{"k/a", 6, kLargeValue}}});
  const mirror_request request{.prefix = "k/", .cursor = 0, .wait_ms = 10};
  const auto response = PostToPeer(
      fixture.pool, fixture.signer, fixture.address,
      {.path = kMirrorPath, .body = EncodeBinary(request), .timeout = 2s});
  REQUIRE(response);
  const auto batch = DecodeBinary<watch_batch>(response.value().body);
  REQUIRE(batch);
  CHECK(batch->events.at(0).value == kLargeValue);
}

TEST_CASE("a follower understands a peer that sends no patches") {
  backup_fixture fixture;
  const auto address = FreeAddress();
  front_server earlier{
      address,
      new handler_factory([](const Poco::Net::HTTPServerRequest&) {
        return new earlier_version_handler;
      }),
      {.max_connections = 4},
      fixture.counters};
  earlier.Start();
  watching_entry<unreachable_platform> entry;
  entry.plan.watchers = {address};
  const auto batch = entry.store.Watch("k/", 5, 1s);
  REQUIRE(batch);
  CHECK(batch.value().events.at(0).value == "A");
}

// Guards against a follower that never gets a version, because it lacks the one
// that the difference was made from.
TEST_CASE("a follower without the base of a patch gets a listing") {
  backup_fixture fixture;
  fixture.peer_relay.Publish(
      "k/", {.cursor = 5, .reset = true, .events = {{"k/a", 5, kLargeValue}}});
  fixture.peer_relay.Publish(
      "k/",
      {.cursor = 6, .reset = false, .events = {{"k/a", 6, kLargeValue + "2"}}});
  const auto batch = fixture.store.Watch("k/", 5, 1s);
  REQUIRE(batch);
  CHECK(batch.value().reset);
  REQUIRE(batch.value().events.size() == 1);
  CHECK(batch.value().events[0].value == kLargeValue + "2");
}

// Guards against followers that poll a backup in a busy loop while the watchers
// cannot reach the platform.
TEST_CASE("a follower pauses before it queries an idle backup again") {
  backup_fixture fixture;
  fixture.peer_relay.Publish(
      "k/", {.cursor = 5, .reset = true, .events = {{"k/a", 3, "A"}}});
  const auto deadline = fixture.clock.now() + 1s;
  while (fixture.clock.now() < deadline)
    REQUIRE(fixture.store.Watch("k/", 5, 1s));
  CHECK(fixture.request_count <= 5);
}

TEST_CASE("a follower receives a change from a backup without delay") {
  backup_fixture fixture;
  fixture.peer_relay.Publish(
      "k/", {.cursor = 6, .reset = true, .events = {{"k/a", 6, "A"}}});
  const auto start = fixture.clock.now();
  const auto batch = fixture.store.Watch("k/", 5, 1s);
  REQUIRE(batch);
  CHECK(batch.value().events.size() == 1);
  CHECK(fixture.clock.now() - start < 200ms);
}

namespace {

// A follower of one watcher, which can be made late.
struct watcher_fixture : follower_fixture {
  watcher_fixture() {
    plan.watchers = {address};
    for (const char* prefix : {"a/", "b/"})
      peer_relay.Publish(prefix, {.cursor = 5, .reset = true, .events = {}});
  }
  // Publishes a change of "a/".
  void Change() {
    peer_relay.Publish(
        "a/", {.cursor = 6, .reset = false, .events = {{"a/x", 6, "A"}}});
  }
  // Makes a call for a prefix exceed its time limit.
  void BeLateFor(const std::string& prefix) {
    delay = 700ms;
    CHECK_FALSE(store.Watch(prefix, 5, 100ms));
    delay = 0ms;
  }
  bool GetsChange() {
    const auto batch = store.Watch("a/", 5, 100ms);
    return batch && batch.value().events.size() == 1;
  }
};

}  // namespace

// Guards against a follower that asks a watcher for nothing at all because one
// of its calls was late: the announcements of targets that leave would wait
// behind a large configuration.
TEST_CASE("a watcher that was late for some objects is asked for others") {
  watcher_fixture fixture;
  fixture.BeLateFor("b/");
  fixture.Change();
  CHECK(fixture.GetsChange());
}

TEST_CASE(
    "a watcher without a fresh copy of some objects is asked for others") {
  watcher_fixture fixture;
  CHECK_FALSE(fixture.store.Watch("unknown/", 5, 100ms));
  fixture.Change();
  CHECK(fixture.GetsChange());
}

// Guards against a follower that knows nothing for seconds because each of its
// watchers was late once.
TEST_CASE("a watcher that was late is asked again if there is nobody else") {
  watcher_fixture fixture;
  fixture.BeLateFor("a/");
  fixture.Change();
  CHECK(fixture.GetsChange());
}

// Guards against requests to a target that has left, by an entry that started
// soon after its watcher did: for two seconds it asked nobody but that one, who
// had no fresh copy either.
TEST_CASE("an entry that starts gets changes from others than its watchers") {
  follower_fixture fixture;
  const auto watcher = FreeAddress();
  watching_entry<unreachable_platform> starting(2s);
  starting.plan = {.role = source_role::kBackup,
                   .watchers = {watcher},
                   .backups = {},
                   .substitutes = {fixture.address}};
  fixture.peer_relay.Publish(
      "k/", {.cursor = 6, .reset = true, .events = {{"k/a", 6, "A"}}});
  const auto batch = starting.store.Watch("k/", 5, 1s);
  REQUIRE(batch);
  CHECK(batch.value().events.size() == 1);
}
