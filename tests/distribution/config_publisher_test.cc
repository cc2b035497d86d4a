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
    CHECK(rig.first.Present().value()->digest() == image->digest());
  }
}

TEST_CASE("a lost request or answer neither loses nor doubles a change") {
  // The connection to the platform breaks while an operator applies a file,
  // once or several times, before or after a write took effect. An operator
  // must not be told "refused" of a change that is in force a second later.
  for (int lost = 1; lost <= 12; ++lost) {
    for (const bool took_effect : {true, false}) {
      distribution_rig rig;
      rig.hooked.before_root = [&] {
        took_effect ? rig.store.LoseNextAnswers(lost % 4)
                    : rig.store.LoseNextRequests(lost % 4);
      };
      took_effect ? rig.store.LoseNextAnswers(lost / 4)
                  : rig.store.LoseNextRequests(lost / 4);
      const auto applied = rig.first.Apply(Changed(1), {"id-1", "ana", 0});
      REQUIRE(applied);
      CHECK(applied.value().version == 1);
      CHECK(rig.LoadFresh().value()->History().size() == 1);
      CHECK(rig.StrayChunks() == 0);
    }
  }
}

TEST_CASE("an outcome that can't be found out is called unknown") {
  // The answer to the decisive write is lost and the platform stays away. Only
  // the history tells later; the same apply id settles it without doubling.
  distribution_rig rig;
  REQUIRE(rig.first.Apply(Changed(1), {"id-1", "ana", {}}));
  rig.hooked.before_root = [&] { rig.store.LoseNextAnswers(100); };
  CHECK(rig.first.Apply(Changed(2), {"id-2", "ana", {}}).error().code ==
        result_code::kApplyOutcomeUnknown);
  rig.store.LoseNextAnswers(0);
  CHECK(rig.second.Apply(Changed(2), {"id-2", "ana", {}}).value().version == 2);
  CHECK(rig.LoadFresh().value()->version() == 2);
}

TEST_CASE("a platform that is down refuses a change and keeps none of it") {
  // The platform goes away in the middle of an apply. Nothing may be in force,
  // and when it is back the chunks of the failed try must not stay for ever.
  distribution_rig rig;
  REQUIRE(rig.first.Apply(Changed(1), {"id-1", "ana", {}}));
  rig.hooked.before_root = [&] { rig.store.SetDown(true); };
  CHECK(rig.first.Apply(Changed(2), {"id-2", "ana", {}}).error().code ==
        result_code::kStoreUnreachable);
  rig.store.SetDown(false);
  CHECK(rig.LoadFresh().value()->version() == 1);
  CHECK(rig.StrayChunks() > 0);
  REQUIRE(rig.first.Apply(Changed(3), {"id-3", "ana", {}}));
  CHECK(rig.StrayChunks() == 0);
}

TEST_CASE("of two operators who race, one is refused and the other whole") {
  // Both read version 1 and apply in the same moment through different
  // entries. Were the slower one to win unseen, the faster one's change would
  // vanish although it was accepted.
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
  CHECK(rig.StrayChunks() == 0);
}

TEST_CASE("one change sent through two entries is accepted once") {
  // An operator's tool gives up on a slow entry and asks another while the
  // first is still at it. Both must tell of the same version.
  distribution_rig rig;
  rig.hooked.before_root = [&] {
    REQUIRE(rig.second.Apply(Changed(1), {"id-1", "ana", {}}));
  };
  CHECK(rig.first.Apply(Changed(1), {"id-1", "ana", {}}).value().version == 1);
  CHECK(rig.LoadFresh().value()->History().size() == 1);
}

TEST_CASE("a declaration that no entry could read is not accepted") {
  // A caller passes on what it did not check. Accepted, it would load nowhere
  // and block every later change.
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

TEST_CASE("old chunks go, but none of the last versions' chunks") {
  // An entry is loading a version while newer ones are applied and chunks are
  // cleaned up. It must be able to finish any version that is still kept.
  distribution_rig rig;
  std::vector<std::string> roots;
  for (int n = 0; n < 20; ++n) {
    const auto declared = WithBlocks(Changed(n), 700 + 200 * (n % 3));
    REQUIRE(rig.first.Apply(declared, {fmt::format("id-{}", n), "ana", {}}));
    roots.push_back(rig.store.Get(kConfigRootKey).value().value);
    for (int back = 0; back < std::min(n + 1, 4); ++back)
      REQUIRE(LoadImage(roots[n - back], nullptr, {}, rig.Fetch()));
    REQUIRE(rig.StrayChunks() == 0);
  }
  CHECK(rig.LoadFresh().value()->History().size() <= 5);
  CHECK_FALSE(LoadImage(roots[0], nullptr, {}, rig.Fetch()));
}

TEST_CASE("drains are applies of what is in force") {
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

TEST_CASE("two drains declared in the same moment both come into force") {
  // Two operators each take a region out for maintenance. Neither drain may be
  // lost to the other's, or a site is switched off while work runs there.
  distribution_rig rig;
  const auto declared = Changed(1);
  REQUIRE(rig.first.Apply(declared, {"id-1", "ana", {}}));
  rig.hooked.before_root = [&] {
    REQUIRE(rig.second.AddDrain(TestDrain("b", declared), {"id-b", "bea", {}}));
  };
  REQUIRE(rig.first.AddDrain(TestDrain("a", declared), {"id-a", "ana", {}}));
  CHECK(rig.LoadFresh().value()->frame().drains.size() ==
        declared.drains.size() + 2);
  CHECK(rig.StrayChunks() == 0);
}
