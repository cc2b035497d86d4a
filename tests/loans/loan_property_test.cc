#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "allowance/loan_ledger.h"
#include "support/small_service.h"

using namespace samphire;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t kEntries = 3;
constexpr std::uint32_t kTargets = 2;
constexpr std::uint32_t kSlotsOfTarget = 3;
// Short against a loan's life, so that a loan used too long soon shows.
constexpr milliseconds kLongestWork{200};
// Chances in each millisecond.
constexpr double kFlip = 0.003;
constexpr double kBusy = 0.2;
constexpr double kIdle = 0.005;

// How the network and the processes of one trial behave.
struct weather {
  double loss = 0;
  double duplication = 0;
  duration longest_delay{0};
  double pause = 0;
  // Whether a process may be replaced by a new one.
  double restart = 0;
  std::uint64_t seed = 0;
};

// Several entries that lend and borrow in random weather. Counts what really
// runs at each target, whatever the entries believe.
class fleet {
 public:
  explicit fleet(const weather& conditions)
      : conditions_(conditions),
        random_(conditions.seed),
        service_(SmallService(kTargets, kSlotsOfTarget)) {
    for (auto& each : service_.classes)
      each.max_deadline = kLongestWork;
    for (std::uint32_t i = 0; i < kEntries; ++i) {
      entries_.emplace_back();
      Start(i);
    }
  }

  // One millisecond: arrivals, deliveries, ends of work, pauses.
  void Step() {
    now_ += 1ms;
    EndWork();
    Deliver();
    for (std::uint32_t i = 0; i < kEntries; ++i) {
      auto& entry = entries_[i];
      if (entry.paused_until > now_)
        continue;
      if (Chance(conditions_.pause)) {
        entry.paused_until = now_ + Length(800ms);
        continue;
      }
      TakeSeats(i);
      // Entries are busy and idle in turn, so that each lends slots that it
      // soon needs back.
      if (Chance(kFlip))
        entry.busy = !entry.busy;
      if (Chance(entry.busy ? kBusy : kIdle))
        Submit(i);
      Apply(i, entry.slots->Tick(now_));
      Carry(i, entry.loans->Advance(now_));
      if (Chance(conditions_.restart))
        Restart(i);
    }
  }

  std::uint32_t most_running() const { return most_running_; }
  std::uint64_t borrowed_work() const { return borrowed_work_; }

 private:
  struct entry_state {
    std::unique_ptr<service_dispatcher> slots;
    std::unique_ptr<loan_ledger> loans;
    time_point paused_until;
    // A new process waits out its predecessor's work and loans.
    time_point owns_from;
    bool owns = false;
    bool busy = false;
  };
  struct work {
    std::uint32_t entry = 0;
    std::uint64_t incarnation = 0;
    slot_grant grant;
    time_point ends;
    time_point deadline;
    bool ended_at_target = false;
  };
  struct letter {
    time_point arrives;
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    loan_message message;
  };

  bool Chance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }
  duration Length(duration longest) {
    return duration(std::uniform_int_distribution<duration::rep>(
        0, std::max<duration::rep>(longest.count(), 1))(random_));
  }
  static std::string NameOfEntry(std::uint32_t i) {
    return std::string("e") + std::to_string(i);
  }

  void Start(std::uint32_t i) {
    auto& entry = entries_[i];
    ++incarnation_;
    entry.loans.reset();
    entry.slots = std::make_unique<service_dispatcher>(service_, limits{},
                                                       "home", random_());
    entry.loans = std::make_unique<loan_ledger>(
        *entry.slots, service_.name, limits{}, incarnation_, random_());
    std::vector<lender_digest> others;
    for (std::uint32_t j = 0; j < kEntries; ++j) {
      if (j != i)
        others.push_back({NameOfEntry(j), 1});
    }
    entry.loans->SetLenders(others);
    entry.owns = false;
  }

  // Work of the old process goes on at its target until it ends.
  void Restart(std::uint32_t i) {
    Start(i);
    const limits bounds;
    entries_[i].owns_from =
        now_ + bounds.loan_ttl + bounds.clock_drift + kLongestWork;
    for (auto& each : running_) {
      if (each.entry == i)
        each.incarnation = 0;
    }
    requests_.erase(i);
  }

  void TakeSeats(std::uint32_t i) {
    auto& entry = entries_[i];
    if (entry.owns || now_ < entry.owns_from)
      return;
    entry.owns = true;
    Apply(i, entry.slots->SetOwnedSlots({{"t0", 1}, {"t1", 1}}, now_));
  }

  void Submit(std::uint32_t i) {
    admission_request request;
    request.id = ++next_id_;
    request.request_class = &service_.classes[0];
    request.home_region = "home";
    request.arrived = now_;
    request.deadline = now_ + (Chance(0.5) ? kLongestWork : 100ms);
    requests_[i][request.id] = request.deadline;
    const auto decision = entries_[i].slots->Submit(request, now_);
    if (const auto* grant = std::get_if<slot_grant>(&decision))
      Begin(i, *grant);
  }

  void Begin(std::uint32_t i, const slot_grant& grant) {
    const auto deadline = requests_[i].at(grant.request_id);
    // Work ends by its deadline at the latest: the target stops it then.
    const auto ends =
        Chance(0.5) ? deadline : std::min(deadline, now_ + Length(100ms));
    running_.push_back({i, 1, grant, ends, deadline, false});
    if (grant.loan_id)
      ++borrowed_work_;
    most_running_ = std::max(most_running_, ++on_target_[grant.target]);
  }

  void EndWork() {
    std::vector<work> told;
    for (auto& each : running_) {
      if (each.ends > now_)
        continue;
      if (!each.ended_at_target) {
        each.ended_at_target = true;
        --on_target_[each.grant.target];
      }
      // A paused entry hears of the end only when it goes on.
      if (entries_[each.entry].paused_until <= now_)
        told.push_back(each);
    }
    std::erase_if(running_, [&](const work& each) {
      return each.ended_at_target && entries_[each.entry].paused_until <= now_;
    });
    for (const auto& each : told) {
      if (each.incarnation == 0)
        continue;
      Apply(each.entry, entries_[each.entry].slots->Finish(
                            each.grant, attempt_outcome::kOk, 50ms, now_));
    }
  }

  void Apply(std::uint32_t i, const std::vector<wakeup>& wakeups) {
    for (const auto& each : wakeups) {
      if (const auto* grant = std::get_if<slot_grant>(&each.result))
        Begin(i, *grant);
    }
  }

  void Carry(std::uint32_t i, const loan_step& step) {
    Apply(i, step.wakeups);
    for (const auto& each : step.messages) {
      const std::uint32_t to = static_cast<std::uint32_t>(each.to.back() - '0');
      int copies = Chance(conditions_.loss) ? 0 : 1;
      copies += Chance(conditions_.duplication) ? 1 : 0;
      for (int copy = 0; copy < copies; ++copy) {
        // Random delays reorder.
        letters_.push_back(
            {now_ + Length(conditions_.longest_delay), i, to, each.message});
      }
    }
  }

  void Deliver() {
    std::vector<letter> due;
    std::erase_if(letters_, [&](const letter& each) {
      // Letters to a paused process wait in its socket.
      if (each.arrives > now_ || entries_[each.to].paused_until > now_)
        return false;
      due.push_back(each);
      return true;
    });
    for (const auto& each : due) {
      Carry(each.to, entries_[each.to].loans->Receive(NameOfEntry(each.from),
                                                      each.message, now_));
    }
  }

  weather conditions_;
  std::mt19937_64 random_;
  service service_;
  time_point now_{std::chrono::hours(1)};
  std::vector<entry_state> entries_;
  std::vector<work> running_;
  std::vector<letter> letters_;
  std::map<std::uint32_t, std::map<std::uint64_t, time_point>> requests_;
  std::map<std::string, std::uint32_t> on_target_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t next_id_ = 0;
  std::uint32_t most_running_ = 0;
  std::uint64_t borrowed_work_ = 0;
};

}  // namespace

// Messages between entries are lost, late, doubled and out of order, processes
// stand still for most of a second and are replaced. If a slot were ever used
// by two entries, a target would run more than it can, and every caller there
// would wait longer.
TEST_CASE("no weather makes a target run more than its slots") {
  std::uint64_t borrowed = 0;
  const bool held = rc::check([&] {
    weather conditions;
    conditions.loss = *rc::gen::inRange(0, 40) / 100.0;
    conditions.duplication = *rc::gen::inRange(0, 40) / 100.0;
    conditions.longest_delay = milliseconds(*rc::gen::inRange(1, 200));
    conditions.pause = *rc::gen::inRange(0, 40) / 10'000.0;
    conditions.restart = *rc::gen::inRange(0, 6) / 10'000.0;
    conditions.seed = *rc::gen::arbitrary<std::uint64_t>();
    fleet entries(conditions);
    for (int step = 0; step < 10'000; ++step)
      entries.Step();
    borrowed += entries.borrowed_work();
    RC_ASSERT(entries.most_running() <= kSlotsOfTarget);
  });
  CHECK(held);
  // The property is empty if nothing was ever lent.
  CHECK(borrowed > 10'000);
}
