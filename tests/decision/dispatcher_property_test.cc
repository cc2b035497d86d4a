#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "support/small_service.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kTargets = 4;
constexpr std::uint32_t kSlots = 2;
constexpr std::uint32_t kCap = 3;

// One entry under random calls, with the invariants that must hold after each
// of them.
class random_entry {
 public:
  explicit random_entry(std::uint64_t seed)
      : random_(seed), entry_(kTargets, kSlots, limits{}, seed) {
    entry_.slots.SetShiftCaps({{"lost", "home", kCap, 1, 2}}, {{0}, 1});
  }

  void Step() {
    entry_.now += milliseconds(Below(20));
    const auto draw = Below(100);
    if (draw < 50)
      Submit();
    else if (draw < 85)
      Finish();
    else if (draw < 90)
      Cancel();
    else if (draw < 92)
      Close();
    else if (draw < 94)
      LendOrRestore();
    else
      ProcessWakeups(entry_.slots.Tick(entry_.now));
  }

  // Ends all requests: every request must have had exactly one result.
  void EndAllRequests() {
    closed_.clear();
    ProcessWakeups(entry_.slots.SetClosedTargets(closed_, entry_.now));
    const auto longest = entry_.now + 60s;
    while (!running_.empty() || !waiting_.empty()) {
      RC_ASSERT(entry_.now < longest);
      if (!running_.empty()) {
        Finish();
        continue;
      }
      const auto due = entry_.slots.NextTick(entry_.now);
      RC_ASSERT(due != time_point::max());
      entry_.now = std::max(due, entry_.now + 1ms);
      ProcessWakeups(entry_.slots.Tick(entry_.now));
    }
    RC_ASSERT(entry_.slots.status(entry_.now).in_flight == 0U);
  }

 private:
  int Below(int bound) {
    return std::uniform_int_distribution<>(0, bound - 1)(random_);
  }

  void Submit() {
    const char* classes[] = {"reading", "alarm", "overlay", "claim", "archive"};
    auto request =
        entry_.Request(classes[Below(5)], milliseconds(50 + Below(3000)));
    if (Below(4) == 0)
      request.home_region = "lost";
    if (Below(8) == 0)
      request.avoid_failure_domains = {"d0"};
    request.isolate = Below(20) == 0;
    homes_[request.id] = request.home_region;
    const auto decision = entry_.Submit(request);
    if (const auto* grant = std::get_if<slot_grant>(&decision))
      RecordGrant(*grant);
    else if (std::holds_alternative<queued>(decision))
      waiting_.insert(request.id);
    else
      RC_ASSERT(std::get<refusal>(decision).retry_after >= 1ms);
  }

  void RecordGrant(const slot_grant& grant) {
    RC_ASSERT(!closed_.contains(grant.target));
    running_.push_back(grant);
    std::uint32_t there = lent_[grant.target];
    std::uint32_t shifted = 0;
    for (const auto& each : running_) {
      there += each.target == grant.target ? 1 : 0;
      shifted += homes_[each.request_id] == "lost" ? 1 : 0;
    }
    RC_ASSERT(there <= kSlots);
    RC_ASSERT(shifted <= kCap);
  }

  void Finish() {
    if (running_.empty())
      return;
    std::swap(running_.back(), running_[static_cast<std::size_t>(
                                   Below(static_cast<int>(running_.size())))]);
    const auto grant = running_.back();
    running_.pop_back();
    const auto outcome = static_cast<attempt_outcome>(Below(8));
    ProcessWakeups(
        entry_.Finish(grant, milliseconds(1 + Below(200)),
                      Below(2) == 0 ? attempt_outcome::kOk : outcome));
  }

  void Cancel() {
    if (waiting_.empty())
      return;
    const auto id = *waiting_.begin();
    waiting_.erase(id);
    const auto cancelled = entry_.slots.Cancel(id, entry_.now);
    RC_ASSERT(cancelled.found);
    ProcessWakeups(cancelled.wakeups);
  }

  void Close() {
    closed_.clear();
    if (Below(2) == 0)
      closed_.insert("t" + std::to_string(Below(kTargets)));
    ProcessWakeups(entry_.slots.SetClosedTargets(closed_, entry_.now));
  }

  void LendOrRestore() {
    for (auto& [target, count] : lent_) {
      if (count > 0) {
        --count;
        ProcessWakeups(entry_.slots.LoanReturned(target, entry_.now));
        return;
      }
    }
    if (const auto lent = entry_.slots.Lend(entry_.now))
      ++lent_[lent->target];
  }

  void ProcessWakeups(const std::vector<wakeup>& wakeups) {
    for (const auto& each : wakeups) {
      RC_ASSERT(waiting_.erase(each.request_id) == 1U);
      if (const auto* grant = std::get_if<slot_grant>(&each.result))
        RecordGrant(*grant);
    }
  }

  std::mt19937_64 random_;
  dispatcher_fixture entry_;
  std::vector<slot_grant> running_;
  std::set<std::uint64_t> waiting_;
  std::map<std::uint64_t, std::string> homes_;
  std::set<std::string> closed_;
  std::map<std::string, std::uint32_t> lent_;
};

}  // namespace

// For any sequence of calls, each request gets exactly one result, no target
// runs more requests than it has slots, no closed target gets work, and no
// shift exceeds its cap. A violation of the first shows to users as a request
// that hangs for ever.
TEST_CASE("every request has one result and every bound holds for any calls") {
  CHECK(rc::check([] {
    random_entry entry(*rc::gen::arbitrary<std::uint64_t>());
    for (int i = 0; i < 2000; ++i)
      entry.Step();
    entry.EndAllRequests();
  }));
}
