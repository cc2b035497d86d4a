#include "store/object_relay.h"

#include <catch2/catch.hpp>

#include "support/manual_clock.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

watch_batch Batch(std::uint64_t cursor,
                  bool reset,
                  std::vector<store_event> events) {
  return {.cursor = cursor, .reset = reset, .events = std::move(events)};
}

}  // namespace

TEST_CASE("a peer gets a full listing first, then only changes") {
  manual_clock clock;
  object_relay relay(clock);
  relay.Publish("k/", Batch(5, true, {{"k/a", 3, "A"}, {"k/b", 4, "B"}}));
  const auto all = relay.Watch("k/", 0, 0ms);
  REQUIRE(all);
  CHECK(all.value().reset);
  CHECK(all.value().events.size() == 2);
  relay.Publish("k/", Batch(8, false, {{"k/a", 0, {}}, {"k/c", 8, "C"}}));
  const auto more = relay.Watch("k/", all.value().cursor, 0ms);
  REQUIRE(more);
  CHECK_FALSE(more.value().reset);
  CHECK(more.value().cursor == 8);
  CHECK(more.value().events.size() == 2);
  CHECK(relay.Watch("k/", 0, 0ms).value().events.size() == 2);
}

// The watcher loses its connection to the platform. Peers that continued to
// trust its copy would send work to targets that have left, and miss a new
// configuration permanently.
TEST_CASE("a copy that is not confirmed recently is not served") {
  manual_clock clock;
  object_relay relay(clock);
  CHECK_FALSE(relay.Watch("k/", 0, 0ms));
  relay.Publish("k/", Batch(5, true, {}));
  CHECK(relay.Watch("k/", 5, 0ms));
  clock.Advance(2s);
  CHECK(relay.Watch("k/", 5, 0ms).error().code ==
        result_code::kStoreUnreachable);
  relay.Publish("k/", Batch(5, false, {}));
  CHECK(relay.Watch("k/", 5, 0ms));
}

// An entry starts while the platform is unreachable. The last state known to
// its peer is old, but the peer itself uses it; without it the entry would
// refuse every caller.
TEST_CASE("the last known state is served to a peer that knows nothing") {
  manual_clock clock;
  object_relay relay(clock);
  CHECK_FALSE(relay.LastKnown("k/"));
  relay.Publish("k/", Batch(5, true, {{"k/a", 3, "A"}}));
  clock.Advance(60s);
  const auto known = relay.LastKnown("k/");
  REQUIRE(known);
  CHECK(known.value().events.size() == 1);
  CHECK(known.value().cursor == 5);
}

TEST_CASE("state received from a peer is not served as confirmed") {
  manual_clock clock;
  object_relay relay(clock);
  relay.Publish("k/", Batch(5, true, {}), false);
  CHECK_FALSE(relay.Watch("k/", 5, 0ms));
  CHECK(relay.LastKnown("k/"));
}

// A peer that followed the platform itself is ahead of the watcher it switches
// to. If its cursor went back, it would apply an older state as an update.
TEST_CASE("the cursor of a peer that is ahead does not go back") {
  manual_clock clock;
  object_relay relay(clock);
  relay.Publish("k/", Batch(5, true, {{"k/a", 3, "A"}}));
  const auto batch = relay.Watch("k/", 9, 0ms);
  REQUIRE(batch);
  CHECK(batch.value().cursor == 9);
  CHECK(batch.value().events.empty());
}

// The store has lost its history, and the watcher has listed everything again.
// If the whole listing were forwarded, it would go to every follower at once
// and saturate the watcher's link, while changes wait behind it.
TEST_CASE("after lost history a peer gets only the differences of a listing") {
  manual_clock clock;
  object_relay relay(clock);
  relay.Publish("k/", Batch(5, true, {{"k/a", 3, "A"}, {"k/c", 4, "C"}}));
  relay.Publish("k/", Batch(0, true, {}));
  relay.Publish("k/", Batch(20, true, {{"k/b", 15, "B"}, {"k/c", 4, "C"}}));
  const auto batch = relay.Watch("k/", 5, 0ms);
  REQUIRE(batch);
  CHECK_FALSE(batch.value().reset);
  CHECK(batch.value().cursor == 20);
  REQUIRE(batch.value().events.size() == 2);
  CHECK(batch.value().events[0].key == "k/b");
  CHECK(batch.value().events[1].key == "k/a");
  CHECK(batch.value().events[1].version == 0);
}

// A peer was disconnected since before the watcher's first listing. If it
// received only the changes that the watcher observed, it would keep objects
// that were deleted earlier.
TEST_CASE("a peer whose cursor precedes the relay's log gets a full listing") {
  manual_clock clock;
  object_relay relay(clock);
  relay.Publish("k/", Batch(5, true, {{"k/a", 3, "A"}}));
  relay.Publish("k/", Batch(20, true, {{"k/b", 15, "B"}}));
  const auto batch = relay.Watch("k/", 2, 0ms);
  REQUIRE(batch);
  CHECK(batch.value().reset);
  REQUIRE(batch.value().events.size() == 1);
  CHECK(batch.value().events[0].key == "k/b");
}

// Both watchers of a region lose the store, and their followers switch to a
// backup watcher that has just detected the same failure. If it responded at
// once, each follower would call the store by itself.
TEST_CASE("a follower waits for a backup watcher to get a fresh copy") {
  manual_clock clock;
  object_relay relay(clock);
  CHECK_FALSE(relay.Watch("k/", 5, 0ms, true));
  relay.Publish("k/", Batch(5, true, {{"k/a", 3, "A"}}));
  const auto fresh = relay.Watch("k/", 5, 10s, true);
  REQUIRE(fresh);
  CHECK(fresh.value().events.empty());
}
