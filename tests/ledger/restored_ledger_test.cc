#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <variant>

#include "ledger/ledger_fixture.h"

using namespace samphire;

namespace {

// Two entries whose store has kept a copy after an earlier claim was completed.
struct copied_ledger : ledger_fixture {
  copied_ledger() {
    const auto outcome = first->Reserve(Request("earlier"));
    first->Complete(std::get<reserved>(outcome).ticket, Response("done"));
    store.MakeCopy();
  }

  std::unique_ptr<ledger> first = Open("a");
  std::unique_ptr<ledger> second = Open("b");
};

}  // namespace

// Guards against paying a claim twice: the store has acknowledged that it ran,
// and comes back from a copy that is older.
TEST_CASE("a claim that ran is not run again after a restore of the store") {
  copied_ledger fixture;
  const auto outcome = fixture.first->Reserve(fixture.Request("k"));
  REQUIRE(Is<reserved>(outcome));
  fixture.first->Complete(std::get<reserved>(outcome).ticket, Response("done"));
  fixture.store.Restore();
  CHECK_FALSE(Is<reserved>(fixture.second->Reserve(fixture.Request("k"))));
}

// Guards against two runs of one claim at the same time.
TEST_CASE("a claim that runs is not reserved again after a restore") {
  copied_ledger fixture;
  REQUIRE(Is<reserved>(fixture.first->Reserve(fixture.Request("k"))));
  fixture.store.Restore();
  CHECK_FALSE(Is<reserved>(fixture.second->Reserve(fixture.Request("k"))));
}
