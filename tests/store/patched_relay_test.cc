#include <catch2/catch.hpp>

#include "store/object_relay.h"
#include "support/manual_clock.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

// A value that is large enough for patches, of which `version` is a small part.
std::string LargeValue(int version) {
  return std::string(200'000, 'x') + std::to_string(version);
}

watch_batch Change(std::uint64_t cursor, int version) {
  return {.cursor = cursor,
          .reset = false,
          .events = {{"k/a", cursor, LargeValue(version)}}};
}

std::size_t BytesOf(const patched_batch& batch) {
  std::size_t bytes = 0;
  for (const auto& event : batch.events) {
    if (const auto* patch = std::get_if<value_patch>(&event.change))
      bytes += patch->bytes.size();
    else if (const auto* value = std::get_if<std::string>(&event.change))
      bytes += value->size();
  }
  return bytes;
}

// A watcher and one that follows it.
struct relay_pair {
  manual_clock clock;
  object_relay watcher{clock};
  object_relay follower{clock};

  relay_pair() {
    const watch_batch first{
        .cursor = 5, .reset = true, .events = {{"k/a", 5, LargeValue(1)}}};
    watcher.Publish("k/", first);
    follower.Publish("k/", first, false);
  }
};

}  // namespace

// Guards against versions that are sent whole to each follower.
TEST_CASE("a follower gets the differences of all versions it lacks") {
  relay_pair relays;
  for (int version = 2; version <= 20; ++version)
    relays.watcher.Publish(
        "k/", Change(4 + static_cast<std::uint64_t>(version), version));
  const auto patched = relays.watcher.WatchPatched("k/", 5, 0ms);
  REQUIRE(patched);
  CHECK(BytesOf(patched.value()) < 10'000);
  const auto whole = relays.follower.ResolvePatches("k/", patched.value());
  REQUIRE(whole);
  CHECK(whole.value().cursor == 24);
  REQUIRE(whole.value().events.size() == 1);
  CHECK(whole.value().events[0].value == LargeValue(20));
}

// Guards against a series of versions that a peer without patches gets one by
// one, though it needs the last one only.
TEST_CASE("superseded versions are not sent") {
  relay_pair relays;
  relays.watcher.Publish("k/", {.cursor = 9,
                                .reset = false,
                                .events = {{"k/a", 7, LargeValue(2)},
                                           {"k/a", 8, LargeValue(3)},
                                           {"k/a", 9, LargeValue(4)}}});
  const auto batch = relays.watcher.Watch("k/", 5, 0ms);
  REQUIRE(batch);
  REQUIRE(batch.value().events.size() == 1);
  CHECK(batch.value().events[0].value == LargeValue(4));
  CHECK(relays.watcher.WatchPatched("k/", 5, 0ms).value().events.size() == 1);
}

// A follower has another version than the patch is made for, since it followed
// another source before.
TEST_CASE("a patch of a version that the follower lacks is refused") {
  relay_pair relays;
  relays.watcher.Publish("k/", Change(6, 2));
  relays.watcher.Publish("k/", Change(7, 3));
  const auto patched = relays.watcher.WatchPatched("k/", 6, 0ms);
  REQUIRE(patched);
  CHECK(relays.follower.ResolvePatches("k/", patched.value()).error().code ==
        result_code::kPeerMalformed);
  const auto listing = relays.watcher.WatchPatched("k/", 0, 0ms);
  REQUIRE(listing);
  CHECK(BytesOf(listing.value()) < 10'000);
  const auto whole = relays.follower.ResolvePatches("k/", listing.value());
  REQUIRE(whole);
  CHECK(whole.value().events[0].value == LargeValue(3));
}

// Guards against listings that a follower asks for only because it has followed
// another peer, whose batches ended at other revisions.
TEST_CASE("a follower skips the patches of versions that it has") {
  relay_pair relays;
  relays.watcher.Publish(
      "k/",
      {.cursor = 10, .reset = false, .events = {{"k/a", 8, LargeValue(2)}}});
  relays.watcher.Publish("k/", Change(12, 3));
  relays.follower.Publish(
      "k/",
      {.cursor = 9, .reset = false, .events = {{"k/a", 8, LargeValue(2)}}},
      false);
  const auto patched = relays.watcher.WatchPatched("k/", 9, 0ms);
  REQUIRE(patched);
  const auto whole = relays.follower.ResolvePatches("k/", patched.value());
  REQUIRE(whole);
  REQUIRE(whole.value().events.size() == 1);
  CHECK(whole.value().events[0].value == LargeValue(3));
}

TEST_CASE("an object that was deleted and created again is sent whole") {
  relay_pair relays;
  relays.watcher.Publish(
      "k/", {.cursor = 6, .reset = false, .events = {{"k/a", 0, {}}}});
  relays.watcher.Publish("k/", Change(7, 2));
  const auto patched = relays.watcher.WatchPatched("k/", 5, 0ms);
  REQUIRE(patched);
  const auto whole = relays.follower.ResolvePatches("k/", patched.value());
  REQUIRE(whole);
  CHECK(whole.value().events.back().value == LargeValue(2));
}

// Guards against large versions that fill the memory of an instance: a follower
// keeps them whole.
TEST_CASE("the values that are kept for peers are bounded") {
  relay_pair relays;
  for (int version = 2; version <= 100; ++version)
    relays.follower.Publish(
        "k/", Change(4 + static_cast<std::uint64_t>(version), version), false);
  relays.follower.Publish("k/", {.cursor = 104, .reset = false, .events = {}});
  CHECK(relays.follower.Watch("k/", 5, 0ms).value().reset);
  CHECK_FALSE(relays.follower.Watch("k/", 103, 0ms).value().reset);
}

// Guards against entries that keep each version of a large object whole for
// followers that they may never have, and send it whole to those they get.
TEST_CASE("an entry that follows others passes their differences on") {
  relay_pair relays;
  for (int version = 2; version <= 20; ++version) {
    const auto cursor = 4 + static_cast<std::uint64_t>(version);
    relays.watcher.Publish("k/", Change(cursor, version));
    const auto patched = relays.watcher.WatchPatched("k/", cursor - 1, 0ms);
    REQUIRE(patched);
    const auto whole = relays.follower.ResolvePatches("k/", patched.value());
    REQUIRE(whole);
    relays.follower.Publish("k/", whole.value(), false);
  }
  // The platform confirms what the follower has.
  relays.follower.Publish("k/", {.cursor = 24, .reset = false, .events = {}});
  const auto passed_on = relays.follower.WatchPatched("k/", 5, 0ms);
  REQUIRE(passed_on);
  CHECK(BytesOf(passed_on.value()) < 10'000);
}
