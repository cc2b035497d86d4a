#include "distribution/config_publisher.h"

#include <catch2/catch.hpp>

#include "distribution/distribution_rig.h"

using namespace samphire;

namespace {

declaration Changed(int n) {
  auto declared = Example("nivel-claro");
  declared.limits.max_attempts = static_cast<std::uint32_t>(1 + n % 9);
  return declared;
}

}  // namespace

TEST_CASE("what is applied is what an entry loads") {
  for (const auto* name : {"nivel-claro", "consortium"}) {
    distribution_rig rig;
    const auto declared = WithBlocks(Example(name), 3000);
    CHECK(rig.first.Apply(declared, {"id-1", "ana", 0}).value().version == 1);
    const auto image = rig.LoadFresh().value();
    CHECK(AllLines(image->Assemble()) == AllLines(declared));
    CHECK(image->frame().client_blocks.empty());
    CHECK(rig.first.Current().value()->digest() == image->digest());
  }
}

TEST_CASE("a lost request or response neither loses nor duplicates a change") {
  // The connection to the platform fails while an operator applies a file, once
  // or several times, before or after a write took effect. An operator must not
  // be told that a change was refused which is in force a second later.
  for (int lost = 1; lost <= 12; ++lost) {
    for (const bool took_effect : {true, false}) {
      distribution_rig rig;
      rig.hooked.before_root = [&] {
        took_effect ? rig.store.LoseNextResponses(lost % 4)
                    : rig.store.LoseNextRequests(lost % 4);
      };
      took_effect ? rig.store.LoseNextResponses(lost / 4)
                  : rig.store.LoseNextRequests(lost / 4);
      const auto applied = rig.first.Apply(Changed(1), {"id-1", "ana", 0});
      REQUIRE(applied);
      CHECK(applied.value().version == 1);
      CHECK(rig.LoadFresh().value()->History().size() == 1);
      CHECK(rig.UnreferencedChunks() == 0);
    }
  }
}

TEST_CASE("an outcome that can't be determined is reported as unknown") {
  // The response to the write of the root is lost and the platform stays
  // unreachable. Only the history shows the outcome later; a retry with the
  // same apply id resolves it without a second change.
  distribution_rig rig;
  REQUIRE(rig.first.Apply(Changed(1), {"id-1", "ana", {}}));
  rig.hooked.before_root = [&] { rig.store.LoseNextResponses(100); };
  CHECK(rig.first.Apply(Changed(2), {"id-2", "ana", {}}).error().code ==
        result_code::kApplyOutcomeUnknown);
  rig.store.LoseNextResponses(0);
  CHECK(rig.second.Apply(Changed(2), {"id-2", "ana", {}}).value().version == 2);
  CHECK(rig.LoadFresh().value()->version() == 2);
}

TEST_CASE("an outage of the platform leaves nothing of a refused change") {
  // The platform becomes unreachable in the middle of an apply. Nothing may be
  // in force, and once it is back the chunks of the failed attempt must not
  // stay forever.
  distribution_rig rig;
  REQUIRE(rig.first.Apply(Changed(1), {"id-1", "ana", {}}));
  rig.hooked.before_root = [&] { rig.store.SetDown(true); };
  CHECK(rig.first.Apply(Changed(2), {"id-2", "ana", {}}).error().code ==
        result_code::kStoreUnreachable);
  rig.store.SetDown(false);
  CHECK(rig.LoadFresh().value()->version() == 1);
  CHECK(rig.UnreferencedChunks() > 0);
  REQUIRE(rig.first.Apply(Changed(3), {"id-3", "ana", {}}));
  CHECK(rig.UnreferencedChunks() == 0);
}

TEST_CASE("of two concurrent changes one is refused and one accepted whole") {
  // Both operators read version 1 and apply at the same moment through
  // different entries. If the slower one overwrote the faster one, an accepted
  // change would be lost.
  distribution_rig rig;
  REQUIRE(rig.first.Apply(Changed(1), {"id-1", "ana", {}}));
  rig.hooked.before_root = [&] {
    REQUIRE(rig.second.Apply(Changed(2), {"id-b", "bea", {}}));
  };
  CHECK(rig.first.Apply(Changed(3), {"id-a", "ana", {}}).error().code ==
        result_code::kVersionConflict);
  const auto image = rig.LoadFresh().value();
  CHECK(image->version() == 2);
  CHECK(image->root().change.operator_name == "bea");
  CHECK(rig.UnreferencedChunks() == 0);
}

TEST_CASE("one change sent through two entries is accepted once") {
  // An operator's tool abandons a slow entry and retries through another while
  // the first one is still working. Both must report the same version.
  distribution_rig rig;
  rig.hooked.before_root = [&] {
    REQUIRE(rig.second.Apply(Changed(1), {"id-1", "ana", {}}));
  };
  CHECK(rig.first.Apply(Changed(1), {"id-1", "ana", {}}).value().version == 1);
  CHECK(rig.LoadFresh().value()->History().size() == 1);
}

TEST_CASE("a declaration that no entry could load is not accepted") {
  // A caller passes on a declaration that it did not validate. If accepted, it
  // could be loaded nowhere and would block every later change.
  distribution_rig rig;
  auto declared = Changed(1);
  declared.default_region = "nowhere";
  CHECK(rig.first.Apply(declared, {"id-1", "ana", {}}).error().code ==
        result_code::kUnknownRegion);
  CHECK(rig.store.writes() == 0);
}

TEST_CASE("an apply id or an expected version that doesn't fit is refused") {
  distribution_rig rig;
  REQUIRE(rig.first.Apply(Changed(1), {"id-1", "ana", 0}));
  CHECK(rig.first.Apply(Changed(1), {"id-1", "ana", 0}).value().version == 1);
  CHECK(rig.first.Apply(Changed(2), {"id-1", "ana", {}}).error().code ==
        result_code::kVersionConflict);
  CHECK(rig.first.Apply(Changed(2), {"id-2", "ana", 0}).error().code ==
        result_code::kVersionConflict);
  CHECK(rig.LoadFresh().value()->version() == 1);
}

TEST_CASE("old chunks are collected, but none of the retained versions") {
  // An entry is loading a version while newer ones are applied and old chunks
  // are collected. It must be able to finish any version that is still
  // retained.
  distribution_rig rig;
  std::vector<std::string> roots;
  for (int n = 0; n < 20; ++n) {
    const auto declared = WithBlocks(Changed(n), 700 + 200 * (n % 3));
    REQUIRE(rig.first.Apply(declared, {fmt::format("id-{}", n), "ana", {}}));
    roots.push_back(rig.store.Get(kConfigRootKey).value().value);
    for (int back = 0; back < std::min(n + 1, 4); ++back)
      REQUIRE(LoadImage(roots[n - back], nullptr, {}, rig.Fetch()));
    REQUIRE(rig.UnreferencedChunks() == 0);
  }
  CHECK(rig.LoadFresh().value()->History().size() <= 5);
  CHECK_FALSE(LoadImage(roots[0], nullptr, {}, rig.Fetch()));
}

TEST_CASE("a drain is applied on top of the version in force") {
  distribution_rig rig;
  const auto declared = Changed(1);
  REQUIRE(rig.first.Apply(declared, {"id-1", "ana", {}}));
  CHECK(rig.first.AddDrain(TestDrain("d1", declared), {"id-2", "ana", {}})
            .value()
            .version == 2);
  CHECK(rig.first.AddDrain(TestDrain("d1", declared), {"id-2", "ana", {}})
            .value()
            .version == 2);
  auto past = TestDrain("d2", declared);
  past.deadline = past.starts_at = wall_time();
  CHECK_FALSE(rig.first.AddDrain(past, {"id-3", "ana", {}}));
  auto nowhere = TestDrain("d2", declared);
  nowhere.subject = "nowhere";
  CHECK(rig.first.AddDrain(nowhere, {"id-3", "ana", {}}).error().code ==
        result_code::kUnknownRegion);
  CHECK(rig.first.RemoveDrain("d9", {"id-4", "ana", {}}).error().code ==
        result_code::kUnknownDrain);
  CHECK(rig.first.RemoveDrain("d1", {"id-5", "ana", {}}).value().version == 3);
  CHECK(rig.first.RemoveDrain("d1", {"id-5", "ana", {}}).value().version == 3);
}

TEST_CASE("two drains declared at the same moment both come into force") {
  // Two operators each drain a region for maintenance. If one drain overwrote
  // the other, a site would be switched off while work runs there.
  distribution_rig rig;
  const auto declared = Changed(1);
  REQUIRE(rig.first.Apply(declared, {"id-1", "ana", {}}));
  rig.hooked.before_root = [&] {
    REQUIRE(rig.second.AddDrain(TestDrain("b", declared), {"id-b", "bea", {}}));
  };
  REQUIRE(rig.first.AddDrain(TestDrain("a", declared), {"id-a", "ana", {}}));
  CHECK(rig.LoadFresh().value()->frame().drains.size() ==
        declared.drains.size() + 2);
  CHECK(rig.UnreferencedChunks() == 0);
}
