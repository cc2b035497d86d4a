#include "traffic/following/platform_fallback.h"

#include <catch2/catch.hpp>

using namespace samphire;
using namespace std::chrono_literals;

namespace {

const time_point kStart{1h};

}  // namespace

// Guards against overloading the store after a short outage that ends all
// watches: without the hold-off, each of sixty followers would make a call, or
// three calls for a listing, although the watchers recover within a moment.
TEST_CASE("a follower waits for its watchers to recover") {
  platform_fallback fallback;
  CHECK(fallback.MayQuery(kStart));
  fallback.OnPeersStale(kStart);
  CHECK_FALSE(fallback.MayQuery(kStart));
  CHECK_FALSE(fallback.MayQuery(kStart + 500ms));
}

// Guards against a follower that keeps an outdated configuration, and sends
// requests into an evacuated failure domain, because it waits forever for peers
// that are partitioned from the store while it is not.
TEST_CASE("a follower whose peers stay stale queries the store itself") {
  platform_fallback fallback;
  for (auto now = kStart; now < kStart + 2s; now += 100ms)
    fallback.OnPeersStale(now);
  CHECK(fallback.MayQuery(kStart + 1s));
}

// Guards against querying the same backups in each round.
TEST_CASE("stale rounds are counted until an update arrives") {
  platform_fallback fallback;
  CHECK(fallback.stale_rounds() == 0);
  fallback.OnPeersStale(kStart);
  fallback.OnPeersStale(kStart + 100ms);
  CHECK(fallback.stale_rounds() == 2);
  fallback.OnUpdate();
  CHECK(fallback.stale_rounds() == 0);
}

// A follower that can't reach its peers has no other source of changes.
TEST_CASE("a follower that reaches no peer queries the store at once") {
  platform_fallback fallback;
  fallback.OnPeersStale(kStart);
  fallback.OnPeersUnreachable();
  CHECK(fallback.MayQuery(kStart));
}

TEST_CASE("a failed store is not queried again until an update arrives") {
  platform_fallback fallback;
  fallback.OnPlatformFailed(kStart, 2s);
  CHECK_FALSE(fallback.MayQuery(kStart + 1s));
  CHECK(fallback.MayQuery(kStart + 2s));
  fallback.OnPlatformFailed(kStart + 2s, 2s);
  fallback.OnUpdate();
  CHECK(fallback.MayQuery(kStart + 2s));
}
