#include "store/object_mirror.h"

#include <catch2/catch.hpp>
#include <string>

using namespace samphire;

namespace {

const time_point kStart{std::chrono::hours(1)};

watch_batch Listing(int count, std::uint64_t cursor) {
  watch_batch batch{.cursor = cursor, .reset = true, .events = {}};
  for (int i = 0; i < count; ++i)
    batch.events.push_back({"t/" + std::to_string(i), 1, "value"});
  return batch;
}

}  // namespace

TEST_CASE("one object that is gone goes at once") {
  object_mirror mirror;
  CHECK(mirror.Apply(Listing(20, 5), kStart));
  CHECK(mirror.Apply({.cursor = 6, .events = {{"t/3", 0, {}}}}, kStart));
  CHECK(mirror.objects().size() == 19);
}

// The platform comes back from an outage in which nobody could renew an entry,
// and lists almost none. Without the doubt every caller is refused for two
// seconds for want of targets that are all alive.
TEST_CASE(
    "objects that vanish together are held until they had time to return") {
  object_mirror mirror;
  mirror.Apply(Listing(20, 5), kStart);
  CHECK_FALSE(mirror.Apply(Listing(2, 9), kStart));
  CHECK(mirror.objects().size() == 20);
  // Ten come back.
  mirror.Apply({.cursor = 10, .events = Listing(10, 0).events},
               kStart + milliseconds(1500));
  CHECK_FALSE(mirror.Expire(kStart + milliseconds(2000)));
  CHECK(mirror.Expire(kStart + milliseconds(2300)));
  CHECK(mirror.objects().size() == 10);
}

// An entry that was cut off reads the list anew: a few targets left meanwhile.
// Held in doubt, they would be sent work seconds after they said they leave.
TEST_CASE("a few that are missing from a new listing are gone at once") {
  object_mirror mirror;
  mirror.Apply(Listing(20, 5), kStart);
  CHECK(mirror.Apply(Listing(15, 9), kStart));
  CHECK(mirror.objects().size() == 15);
}

TEST_CASE("lost history empties nothing") {
  object_mirror mirror;
  mirror.Apply(Listing(20, 5), kStart);
  CHECK_FALSE(mirror.Apply({.cursor = 0, .reset = true}, kStart));
  CHECK(mirror.objects().size() == 20);
}

// The watch goes on after an outage in which entries lapsed and came back; one
// batch tells both. Taken as gone, a third of the targets stayed unused for
// good, and callers waited for the rest.
TEST_CASE("an object that went and came back within one batch is there") {
  object_mirror mirror;
  mirror.Apply(Listing(20, 5), kStart);
  watch_batch batch{.cursor = 90, .reset = false, .events = {}};
  for (int i = 0; i < 20; ++i)
    batch.events.push_back({"t/" + std::to_string(i), 0, {}});
  for (int i = 0; i < 15; ++i)
    batch.events.push_back({"t/" + std::to_string(i), 80, "again"});
  mirror.Apply(batch, kStart);
  mirror.Expire(kStart + milliseconds(2300));
  CHECK(mirror.objects().size() == 15);
}
