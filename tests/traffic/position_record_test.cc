#include "traffic/following/position_record.h"

#include <catch2/catch.hpp>

#include "support/manual_clock.h"

using namespace samphire;
using namespace std::chrono_literals;

TEST_CASE("a position does not go back, and ages since it was confirmed") {
  position_record record;
  const time_point start{};
  CHECK_FALSE(record.StatusAt(start).age);
  record.Confirm({7, 1}, start);
  record.Advance({3, 2});
  record.Advance({9, 1});
  const auto status = record.StatusAt(start + 4s);
  CHECK(status.position == store_cursor(3, 2));
  CHECK(status.age == 4s);
  record.Confirm({3, 2}, start + 5s);
  CHECK(record.StatusAt(start + 5s).age == 0s);
}

// Guards against an entry that serves callers for ever by evacuations that
// nobody confirms, though other entries could serve them.
TEST_CASE("an entry alone does not serve by old evacuations without end") {
  position_record record;
  const time_point start{};
  CHECK_FALSE(MayServeBy(record.StatusAt(start), true));
  record.Confirm({7, 1}, start);
  CHECK(MayServeBy(record.StatusAt(start + 9s), true));
  CHECK_FALSE(MayServeBy(record.StatusAt(start + 11s), true));
}

// Guards against a fleet that refuses all callers while the store is away.
TEST_CASE("entries that reach each other serve through an outage") {
  position_record record;
  const time_point start{};
  CHECK(MayServeBy(record.StatusAt(start), false));
  record.Confirm({7, 1}, start);
  CHECK(MayServeBy(record.StatusAt(start + 10min), false));
}
