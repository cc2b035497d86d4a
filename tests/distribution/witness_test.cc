#include <catch2/catch.hpp>

#include "distribution/distribution_rig.h"
#include "distribution/witness_check.h"

using namespace samphire;

namespace {

request_class& WitnessedClass(declaration& declared) {
  for (auto& one : declared.services) {
    for (auto& candidate : one.classes) {
      if (candidate.witnessed)
        return candidate;
    }
  }
  FAIL("no witnessed class in the example");
  return declared.services[0].classes[0];
}

struct witness_rig : distribution_rig {
  witness_rig() {
    REQUIRE(first.Apply(declared, {"id-1", "ana", {}}));
    ++WitnessedClass(declared).queue_limit;
  }
  declaration declared = Example("consortium");
};

}  // namespace

TEST_CASE("every change to claim handling needs a witness") {
  // A change removes the mark, the class or its service, adds a class, or
  // shortens how long claims are remembered. If any of these passed without a
  // witness, a duplicate claim could be paid without the auditor having seen a
  // change.
  const auto current = Example("consortium");
  auto wanted = current;
  CHECK(WitnessedChanges(current, wanted).empty());
  SECTION("the mark") {
    WitnessedClass(wanted).witnessed = false;
  }
  SECTION("the path") {
    WitnessedClass(wanted).path += "/x";
  }
  SECTION("the service") {
    std::erase_if(wanted.services, [](const service& one) {
      return std::any_of(one.classes.begin(), one.classes.end(),
                         [](const auto& c) { return c.witnessed; });
    });
  }
  SECTION("a new class") {
    auto added = WitnessedClass(wanted);
    added.name = "added";
    wanted.services[0].classes.push_back(added);
  }
  SECTION("the retention") {
    wanted.limits.ledger_retention /= 2;
  }
  CHECK_FALSE(WitnessedChanges(current, wanted).empty());
}

TEST_CASE("a witnessed change comes into force only with a second operator") {
  witness_rig rig;
  const apply_request request{"id-2", "ana", {}};
  CHECK(rig.first.Apply(rig.declared, request).error().code ==
        result_code::kWitnessNeeded);
  CHECK(rig.second.Apply(rig.declared, request).error().code ==
        result_code::kWitnessNeeded);
  CHECK(rig.LoadFresh().value()->version() == 1);
  REQUIRE(rig.first.Proposals().value().size() == 1);
  CHECK(rig.first.Proposals().value()[0].touches.size() == 1);
  CHECK(rig.second.Witness("id-2", "ana").error().code ==
        result_code::kWitnessIsProposer);
  CHECK(rig.second.Witness("id-9", "bea").error().code ==
        result_code::kUnknownProposal);
  CHECK(rig.second.Witness("id-2", "bea").value().version == 2);
  CHECK(rig.second.Witness("id-2", "bea").value().version == 2);
  const auto image = rig.LoadFresh().value();
  CHECK(AllLines(image->Assemble()) == AllLines(rig.declared));
  CHECK(image->History().back().operator_name == "ana");
  CHECK(image->History().back().witness == "bea");
  CHECK(rig.first.Proposals().value().empty());
  CHECK(rig.UnreferencedChunks() == 0);
}

TEST_CASE(
    "a lost response to a witness neither loses nor duplicates the change") {
  // The auditor's approval takes effect and the response is lost; the auditor
  // retries, possibly through another entry.
  witness_rig rig;
  const auto lost = GENERATE(1, 2, 3, 100);
  CHECK_FALSE(rig.first.Apply(rig.declared, {"id-2", "ana", {}}));
  rig.hooked.before_root = [&] { rig.store.LoseNextResponses(lost); };
  const auto first_try = rig.first.Witness("id-2", "bea");
  CHECK(first_try.has_value() == (lost < 100));
  rig.store.LoseNextResponses(0);
  CHECK(rig.second.Witness("id-2", "bea").value().version == 2);
  CHECK(rig.LoadFresh().value()->version() == 2);
}

TEST_CASE("a proposal made on an older version is refused") {
  // Between the proposal and the auditor's approval somebody else changed the
  // configuration. The approval would undo that change, unnoticed by both.
  witness_rig rig;
  CHECK_FALSE(rig.first.Apply(rig.declared, {"id-2", "ana", {}}));
  REQUIRE(
      rig.second.AddDrain(TestDrain("d", rig.declared), {"id-3", "cy", {}}));
  CHECK(rig.first.Witness("id-2", "bea").error().code ==
        result_code::kVersionConflict);
  const auto image = rig.LoadFresh().value();
  CHECK(image->version() == 2);
  CHECK(image->frame().drains.size() == rig.declared.drains.size() + 1);
  CHECK(rig.UnreferencedChunks() == 0);
}
