#include <catch2/catch.hpp>
#include <string>
#include <variant>

#include "ledger/ledger_fixture.h"

using namespace samphire;

// Guards against paying a claim twice: the store has acknowledged that it ran,
// and comes back from a copy that is older.
TEST_CASE("a claim that ran is not run again after a restore of the store") {
  ledger_fixture fixture;
  const auto first = fixture.Open("a");
  const auto second = fixture.Open("b");
  const auto layout = first->Reserve(fixture.Request("earlier"));
  first->Complete(std::get<reserved>(layout).ticket, Response("done"));
  fixture.store.MakeCopy();
  const auto outcome = first->Reserve(fixture.Request("k"));
  REQUIRE(Is<reserved>(outcome));
  first->Complete(std::get<reserved>(outcome).ticket, Response("done"));
  fixture.store.Restore();
  CHECK_FALSE(Is<reserved>(second->Reserve(fixture.Request("k"))));
}

// Guards against two runs of one claim at the same time.
TEST_CASE("a claim that runs is not reserved again after a restore") {
  ledger_fixture fixture;
  const auto first = fixture.Open("a");
  const auto second = fixture.Open("b");
  const auto layout = first->Reserve(fixture.Request("earlier"));
  first->Complete(std::get<reserved>(layout).ticket, Response("done"));
  fixture.store.MakeCopy();
  REQUIRE(Is<reserved>(first->Reserve(fixture.Request("k"))));
  fixture.store.Restore();
  CHECK_FALSE(Is<reserved>(second->Reserve(fixture.Request("k"))));
}
