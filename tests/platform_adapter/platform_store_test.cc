#include "platform_store.h"

#include <catch2/catch.hpp>

#include "platform_adapter/stand_in_platform.h"

using namespace samphire;
using namespace samphire::platform;
using namespace std::chrono_literals;

namespace {

struct test_setup {
  stand_in_platform stand_in;
  system_clock_source clock;
  metrics counters;
  platform_store store{{.addresses = {stand_in.address()}}, clock, counters};
};

const std::string kValue = R"({"spec":{"x":1}})";

}  // namespace

TEST_CASE("objects are created, replaced under their revision and deleted") {
  test_setup r;
  const auto created = r.store.Put("k/a", kValue, 0);
  REQUIRE(created);
  CHECK(r.store.Put("k/a", kValue, 0).error().code ==
        result_code::kStoreConflict);
  const auto replaced = r.store.Put("k/a", R"({"spec":2})", created.value());
  REQUIRE(replaced);
  CHECK(r.store.Put("k/a", kValue, created.value()).error().code ==
        result_code::kStoreConflict);
  CHECK(r.store.Get("k/a").value().version == replaced.value());
  REQUIRE(r.store.Delete("k/a", replaced.value()));
  CHECK(r.store.Get("k/a").error().code == result_code::kStoreNotFound);
}

TEST_CASE("a watch from the start lists all pages, then reports changes") {
  test_setup r;
  r.stand_in.page_size = 2;
  for (const char* name : {"a", "b", "c", "d", "e"})
    r.stand_in.Write(std::string("k/") + name, kValue);
  const auto all = r.store.Watch("k/", 0, 0ms);
  REQUIRE(all);
  CHECK(all.value().reset);
  CHECK(all.value().events.size() == 5);
  r.stand_in.Write("k/f", kValue);
  r.stand_in.Remove("k/b");
  const auto more = r.store.Watch("k/", all.value().cursor, 1000ms);
  REQUIRE(more);
  CHECK_FALSE(more.value().reset);
  REQUIRE(more.value().events.size() == 2);
  CHECK(more.value().events[0].value);
  CHECK(more.value().events[1].version == 0);
}

// Guards against an evacuation that is known seconds late because the store has
// dropped its history: the answer that says so counts as contact with the
// store, and nobody would hurry to ask for the listing.
TEST_CASE("lost history is answered by a listing in the same call") {
  test_setup r;
  r.stand_in.Write("k/a", kValue);
  r.stand_in.Write("k/b", kValue);
  r.stand_in.history_gone = true;
  const auto batch = r.store.Watch("k/", 1, 0ms);
  REQUIRE(batch);
  CHECK(batch.value().reset);
  CHECK(batch.value().cursor.IsSet());
  CHECK(batch.value().events.size() == 2);
  const auto after = r.store.Watch("k/", batch.value().cursor, 0ms);
  REQUIRE(after);
  CHECK_FALSE(after.value().reset);
  CHECK(after.value().events.empty());
}

// With 429 and 503 the store states that a write had no effect. A write whose
// response is lost may have taken effect and must not be reported as failed.
TEST_CASE("a refused write had no effect, one without a response may have") {
  test_setup r;
  r.stand_in.refuse_with = 429;
  CHECK(r.store.Put("k/a", kValue, 0).error().code ==
        result_code::kStoreUnreachable);
  r.stand_in.refuse_with = 503;
  CHECK(r.store.Put("k/a", kValue, 0).error().code ==
        result_code::kStoreUnreachable);
  r.stand_in.refuse_with = 0;
  r.stand_in.lose_write_responses = 1;
  CHECK(r.store.Put("k/a", kValue, 0).error().code ==
        result_code::kStoreOutcomeUnknown);
  CHECK(r.store.Get("k/a"));
}
