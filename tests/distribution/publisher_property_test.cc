#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <random>

#include "base/log.h"
#include "distribution/distribution_rig.h"

using namespace samphire;

namespace {

// Applies random changes through two entries under injected faults and compares
// the result with what the operators were told.
class publisher_run {
 public:
  explicit publisher_run(std::uint32_t seed) : random_(seed) {}

  void Step() {
    if (Chance(30)) {
      rig_.hooked.before_root = [this] {
        const int fault = Pick(4);
        if (fault == 0)
          rig_.store.LoseNextResponses(1 + Pick(6));
        else if (fault == 1)
          rig_.store.LoseNextRequests(1 + Pick(6));
        else if (fault == 2)
          rig_.store.SetDown(true);
        else
          Change(rig_.second);
      };
    }
    if (Chance(20))
      rig_.store.LoseNextResponses(1 + Pick(3));
    Change(Chance(60) ? rig_.first : rig_.second);
    rig_.hooked.before_root = nullptr;
    rig_.store.SetDown(false);
    rig_.store.LoseNextResponses(0);
    rig_.store.LoseNextRequests(0);
    CheckInvariants();
  }

  void Finish() {
    for (auto* publisher : {&rig_.first, &rig_.second})
      RC_ASSERT(bool(publisher->Apply(Wanted(), {NextId(), "ana", {}})));
    if (unknown_.empty()) {
      RC_ASSERT(rig_.UnreferencedChunks() == 0U);
    }
  }

 private:
  int Pick(int below) { return static_cast<int>(random_() % unsigned(below)); }
  bool Chance(int percent) { return Pick(100) < percent; }
  std::string NextId() { return fmt::format("id-{}", next_id_++); }

  declaration Wanted() {
    auto declared = WithBlocks(base_, 50 + 300 * std::size_t(Pick(4)));
    declared.limits.max_attempts = 1 + std::uint32_t(Pick(9));
    return declared;
  }

  void Change(config_publisher& publisher) {
    const auto id = NextId();
    const apply_request request{id, "ana", {}};
    const auto done =
        Chance(70)
            ? publisher.Apply(Wanted(), request)
            : publisher.AddDrain(TestDrain(fmt::format("d{}", Pick(3)), base_),
                                 request);
    if (done)
      accepted_[done.value().version] = id;
    else if (done.error().code == result_code::kApplyOutcomeUnknown)
      unknown_.insert(id);
    else
      refused_.insert(id);
  }

  // Checks after each step that the root loads, that versions never decrease,
  // that accepted changes are in the history under their version, and that
  // refused ones are not.
  void CheckInvariants() {
    const auto image = rig_.LoadFresh();
    if (!image) {
      RC_ASSERT(accepted_.empty());
      return;
    }
    RC_ASSERT(image.value()->version() >= version_);
    version_ = image.value()->version();
    const auto newest = accepted_.empty() ? 0 : accepted_.rbegin()->first;
    RC_ASSERT(newest <= version_);
    for (const auto& change : image.value()->History()) {
      RC_ASSERT(!refused_.contains(change.apply_id));
      const auto recorded = accepted_.find(change.version);
      if (recorded == accepted_.end()) {
        RC_ASSERT(unknown_.contains(change.apply_id));
      } else {
        RC_ASSERT(recorded->second == change.apply_id);
      }
    }
  }

  std::mt19937 random_;
  distribution_rig rig_;
  const declaration base_ = Example("nivel-claro");
  std::map<std::uint64_t, std::string> accepted_;
  std::set<std::string> refused_;
  std::set<std::string> unknown_;
  std::uint64_t version_ = 0;
  int next_id_ = 0;
};

}  // namespace

TEST_CASE("the reported outcome of a change is the actual one") {
  // Two entries accept changes while requests and responses are lost, the
  // platform fails in the middle and concurrent changes intervene. An operator
  // who is told "refused" about a change that is in force, or "accepted" about
  // one that is not, acts on wrong information in an emergency.
  ConfigureLog("test", log_level::kWarning);
  CHECK(rc::check([] {
    publisher_run run(*rc::gen::arbitrary<std::uint32_t>());
    for (int n = 0; n < 8; ++n)
      run.Step();
    run.Finish();
  }));
}
