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

TEST_CASE("a single deleted object is removed at once") {
  object_mirror mirror;
  CHECK(mirror.Apply(Listing(20, 5), kStart));
  CHECK(mirror.Apply({.cursor = 6, .events = {{"t/3", 0, {}}}}, kStart));
  CHECK(mirror.objects().size() == 19);
}

// The platform recovers from an outage in which no owner could renew its
// object, and lists almost none. Without the delay, every caller would be
// refused for two seconds for lack of targets that are all running.
TEST_CASE(
    "objects that disappear in bulk are kept until they could be renewed") {
  object_mirror mirror;
  mirror.Apply(Listing(20, 5), kStart);
  CHECK_FALSE(mirror.Apply(Listing(2, 9), kStart));
  CHECK(mirror.objects().size() == 20);
  // Ten of the objects are renewed.
  mirror.Apply({.cursor = 10, .events = Listing(10, 0).events},
               kStart + milliseconds(1500));
  CHECK_FALSE(mirror.Expire(kStart + milliseconds(2000)));
  CHECK(mirror.Expire(kStart + milliseconds(2300)));
  CHECK(mirror.objects().size() == 10);
}

// A disconnected entry lists everything again; a few targets left in the
// meantime. If they were kept, they would be assigned work seconds after they
// announced that they are leaving.
TEST_CASE("a few objects missing from a new listing are removed at once") {
  object_mirror mirror;
  mirror.Apply(Listing(20, 5), kStart);
  CHECK(mirror.Apply(Listing(15, 9), kStart));
  CHECK(mirror.objects().size() == 15);
}

TEST_CASE("a source that lost its history does not empty the mirror") {
  object_mirror mirror;
  mirror.Apply(Listing(20, 5), kStart);
  CHECK_FALSE(mirror.Apply({.cursor = 0, .reset = true}, kStart));
  CHECK(mirror.objects().size() == 20);
}

// A watch continues after an outage in which objects expired and were renewed;
// one batch contains both events. If the objects were taken for deleted, a
// third of the targets would stay unused permanently while callers wait for the
// others.
TEST_CASE("an object deleted and re-created within one batch exists") {
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
