#include "distribution/follower_state.h"

#include <catch2/catch.hpp>

using namespace samphire;
using namespace std::chrono_literals;

namespace {

const time_point kStart = time_point(std::chrono::hours(100));

template <typename A>
bool NextIs(const follower_state& state, time_point now) {
  return std::holds_alternative<A>(state.Next(now));
}

follower_state StateWith(std::uint64_t version, time_point confirmed) {
  follower_state state({}, kStart);
  state.OnRoot(version, "d", confirmed);
  state.OnImage(version, "d", confirmed);
  return state;
}

}  // namespace

TEST_CASE("at a start the platform is authoritative, not the peers") {
  // An entry is replaced while its peers are behind. If it served their
  // version, it would take back an accepted change for its callers.
  follower_state state({}, kStart);
  state.OnPeerConfig("p", {7, "d", 0ms}, kStart);
  CHECK(NextIs<read_root>(state, kStart));
}

TEST_CASE("at a start during an outage the peers are queried after a delay") {
  // The platform is down while an instance is replaced. Waiting for it would
  // leave the new entry useless, but a short interruption must not make the
  // entry use the peers' version early.
  follower_state state({}, kStart);
  state.OnPlatformError(kStart);
  CHECK(NextIs<wait_until>(state, kStart + 1ms));
  CHECK(NextIs<read_root>(state, kStart + 1499ms));
  for (int n = 0; n < 6; ++n)
    state.OnPlatformError(kStart + 1500ms);
  CHECK(NextIs<query_peers>(state, kStart + 1501ms));
  state.OnLoadFailed(kStart + 1501ms);
  CHECK(NextIs<wait_until>(state, kStart + 1502ms));
}

TEST_CASE("the version in force never decreases") {
  // The platform is restored from an old copy, or a peer that was disconnected
  // announces its old version. Neither may undo an accepted change.
  auto state = StateWith(7, kStart);
  CHECK(state.OnRoot(6, "c", kStart + 1s) == root_verdict::kOlder);
  CHECK(state.OnRoot(7, "x", kStart + 1s) == root_verdict::kDiffers);
  CHECK(state.OnPeerConfig("p", {6, "c", 0ms}, kStart + 1s) ==
        root_verdict::kOlder);
  state.OnImage(6, "c", kStart + 1s);
  CHECK(state.OnPeerConfig("p", {7, "", 24h}, kStart + 1s) ==
        root_verdict::kCurrent);
  CHECK(state.version() == 7);
  CHECK(state.confirmed_at() == kStart);
  CHECK(NextIs<wait_until>(state, kStart + 2s));
}

TEST_CASE("two disconnected entries can't refresh each other's confirmation") {
  // A region loses the platform and all other regions, while its entries keep
  // gossiping. If the confirmation age weren't passed on, nobody would ever
  // notice how old the configuration is.
  auto one = StateWith(7, kStart);
  auto two = StateWith(7, kStart);
  for (int s = 1; s <= 60; ++s) {
    const auto now = kStart + std::chrono::seconds(s);
    const auto age = [&](const follower_state& state) {
      return std::chrono::ceil<milliseconds>(now - state.confirmed_at());
    };
    one.OnPeerConfig("two", {7, "d", age(two)}, now);
    two.OnPeerConfig("one", {7, "d", age(one)}, now);
  }
  CHECK(one.confirmed_at() == kStart);
  one.OnPeerConfig("three", {7, "d", 500ms}, kStart + 61s);
  CHECK(one.confirmed_at() == kStart + 60500ms);
}

TEST_CASE("an unchanged watch confirms only the root that was read since") {
  // A newer root was read and its chunks can't be loaded. The watch reports
  // nothing from then on, but the version in force is out of date and must not
  // appear fresh.
  auto state = StateWith(7, kStart);
  state.OnWatchUnchanged(kStart + 4s);
  CHECK(state.confirmed_at() == kStart + 4s);
  state.OnRootChanged();
  state.OnWatchUnchanged(kStart + 5s);
  CHECK(state.OnRoot(8, "e", kStart + 6s) == root_verdict::kNewer);
  state.OnWatchUnchanged(kStart + 7s);
  CHECK(state.confirmed_at() == kStart + 4s);
  state.OnLoadFailed(kStart + 7s);
  CHECK(NextIs<wait_until>(state, kStart + 7s));
  CHECK(NextIs<read_root>(state, kStart + 9s));
  state.OnImage(8, "e", kStart + 9s);
  CHECK(state.confirmed_at() == kStart + 9s);
}

TEST_CASE("an entry that peers confirm doesn't query the platform") {
  auto state = StateWith(7, kStart);
  for (int s = 1; s <= 120; ++s) {
    const auto now = kStart + std::chrono::seconds(s);
    state.OnPeerConfig("p", {7, "d", 4000ms}, now);
    REQUIRE(NextIs<wait_until>(state, now));
  }
  CHECK(NextIs<read_root>(state, kStart + 140s));
  CHECK(state.OnPeerConfig("p", {8, "e", 0ms}, kStart + 121s) ==
        root_verdict::kNewer);
  CHECK(NextIs<pull_from_peer>(state, kStart + 121s));
  state.OnLoadFailed(kStart + 121s);
  CHECK(NextIs<read_root>(state, kStart + 122s));
}
