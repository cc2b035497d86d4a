#include "traffic/platform_turn.h"

#include <catch2/catch.hpp>

using namespace samphire;
using namespace std::chrono_literals;

namespace {

const time_point kStart{1h};

}  // namespace

// The store cuts all watches and is back at once. Each of sixty followers that
// asks it without waiting for the watchers is a call, and a listing is three.
TEST_CASE("a follower gives its watchers a moment to come back") {
  platform_turn turn;
  CHECK(turn.MayAsk(kStart));
  turn.OnPeersStale(kStart);
  CHECK_FALSE(turn.MayAsk(kStart));
  CHECK_FALSE(turn.MayAsk(kStart + 500ms));
}

// All peers that a follower asks are cut off from the store, and it is not. One
// that waits for them for good goes by an old configuration and sends work into
// a failure domain that was evacuated.
TEST_CASE("a follower whose peers stay stale asks the store itself") {
  platform_turn turn;
  for (auto now = kStart; now < kStart + 2s; now += 100ms)
    turn.OnPeersStale(now);
  CHECK(turn.MayAsk(kStart + 1s));
}

// Without the count, each round would ask the same deputies again.
TEST_CASE("stale rounds are counted until there is news") {
  platform_turn turn;
  CHECK(turn.stale_rounds() == 0);
  turn.OnPeersStale(kStart);
  turn.OnPeersStale(kStart + 100ms);
  CHECK(turn.stale_rounds() == 2);
  turn.OnNews();
  CHECK(turn.stale_rounds() == 0);
}

// A follower that can't reach its peers learns from nobody else.
TEST_CASE("a follower that is cut off from its peers asks at once") {
  platform_turn turn;
  turn.OnPeersStale(kStart);
  turn.OnPeersSilent();
  CHECK(turn.MayAsk(kStart));
}

TEST_CASE("a store that failed is left alone until news comes") {
  platform_turn turn;
  turn.OnPlatformFailed(kStart, 2s);
  CHECK_FALSE(turn.MayAsk(kStart + 1s));
  CHECK(turn.MayAsk(kStart + 2s));
  turn.OnPlatformFailed(kStart + 2s, 2s);
  turn.OnNews();
  CHECK(turn.MayAsk(kStart + 2s));
}
