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

// Ranks values by the number that they consist of.
object_rank RankOf(const std::string& /*key*/, const std::string& value) {
  return {std::stoll(value), 0, 0};
}

// A listing of one object, by a store of the era.
watch_batch One(const std::string& value, store_cursor cursor) {
  return {.cursor = cursor, .reset = true, .events = {{"t/1", 1, value}}};
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

// Guards against sending work to a target again that has said that it leaves,
// as the store's copy is older than its statement.
TEST_CASE(
    "an older version in a copy is not applied until its owner had time") {
  object_mirror mirror(RankOf);
  mirror.Apply(One("7", {50, 1}), kStart);
  CHECK_FALSE(mirror.Apply(One("5", {20, 2}), kStart));
  CHECK(mirror.objects().at("t/1") == "7");
  SECTION("the owner writes again what was lost") {
    const watch_batch again{
        .cursor = {21, 2}, .reset = false, .events = {{"t/1", 21, "7"}}};
    CHECK_FALSE(mirror.Apply(again, kStart + milliseconds(500)));
    CHECK_FALSE(mirror.expiry());
  }
  SECTION("the owner writes a later version") {
    const watch_batch later{
        .cursor = {21, 2}, .reset = false, .events = {{"t/1", 21, "8"}}};
    CHECK(mirror.Apply(later, kStart + milliseconds(500)));
    CHECK(mirror.objects().at("t/1") == "8");
    CHECK_FALSE(mirror.Expire(kStart + milliseconds(10'000)));
  }
  SECTION("the owner has gone") {
    const watch_batch gone{
        .cursor = {21, 2}, .reset = false, .events = {{"t/1", 0, {}}}};
    CHECK(mirror.Apply(gone, kStart + milliseconds(500)));
    CHECK(mirror.objects().empty());
  }
  SECTION("the owner writes nothing") {
    CHECK_FALSE(mirror.Expire(kStart + milliseconds(5000)));
    CHECK(mirror.Expire(kStart + milliseconds(6100)));
    CHECK(mirror.objects().at("t/1") == "5");
  }
}

// Guards against losing what is younger than the copy before its owner has
// written it again, such as the evacuation of a domain.
TEST_CASE("an object that a copy lacks is kept until it could be written") {
  object_mirror mirror;
  mirror.Apply(Listing(3, 50), kStart);
  CHECK_FALSE(mirror.Apply(
      {.cursor = {20, 2}, .reset = true, .events = Listing(2, 0).events},
      kStart));
  CHECK(mirror.objects().size() == 3);
  SECTION("it is written again") {
    mirror.Apply(
        {.cursor = {21, 2}, .reset = false, .events = {{"t/2", 21, "value"}}},
        kStart + milliseconds(1500));
    CHECK_FALSE(mirror.Expire(kStart + milliseconds(9000)));
    CHECK(mirror.objects().size() == 3);
  }
  SECTION("it is not") {
    CHECK(mirror.Expire(kStart + milliseconds(2300)));
    CHECK(mirror.objects().size() == 2);
  }
}

// Guards against sending work to a target that has gone, since the copy is from
// before.
TEST_CASE("an object that was removed does not come back with a copy") {
  object_mirror mirror(RankOf);
  mirror.Apply(One("7", {50, 1}), kStart);
  mirror.Apply({.cursor = {51, 1}, .events = {{"t/1", 0, {}}}}, kStart);
  REQUIRE(mirror.objects().empty());
  CHECK_FALSE(mirror.Apply(One("7", {20, 2}), kStart + milliseconds(1000)));
  CHECK(mirror.objects().empty());
  SECTION("it is there all the same") {
    CHECK(mirror.Apply(
        {.cursor = {21, 2}, .reset = false, .events = {{"t/1", 21, "8"}}},
        kStart + milliseconds(1500)));
    CHECK(mirror.objects().size() == 1);
  }
  SECTION("the copy is corrected") {
    mirror.Apply({.cursor = {21, 2}, .events = {{"t/1", 0, {}}}},
                 kStart + milliseconds(3000));
    CHECK_FALSE(mirror.Expire(kStart + milliseconds(9000)));
    CHECK(mirror.objects().empty());
  }
}
