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
// Shorter than the time to live of a loan, so that a loan that is used for too
// long is soon detected.
constexpr milliseconds kMaxWorkDuration{200};
// Probabilities per simulated millisecond: that an entry changes between busy
// and idle, and that a request arrives at a busy or an idle entry.
constexpr double kLoadChangeChance = 0.003;
constexpr double kBusyArrivalChance = 0.2;
constexpr double kIdleArrivalChance = 0.005;

// Faults of the network and the processes in one trial. `loss` and
// `duplication` are probabilities per message, `pause` and `restart` per
// millisecond and entry.
struct fault_profile {
  double loss = 0;
  double duplication = 0;
  duration longest_delay{0};
  double pause = 0;
  // Probability that a process is replaced by a new one.
  double restart = 0;
  std::uint64_t seed = 0;
};

// Simulates several entries that lend and borrow slots under random faults.
// Counts the work that really runs at each target, independently of what the
// entries believe.
class loan_simulation {
 public:
  explicit loan_simulation(const fault_profile& faults)
      : faults_(faults),
        random_(faults.seed),
        service_(SmallService(kTargets, kSlotsOfTarget)) {
    for (auto& each : service_.classes)
      each.max_deadline = kMaxWorkDuration;
    for (std::uint32_t i = 0; i < kEntries; ++i) {
      entries_.emplace_back();
      Start(i);
    }
  }

  // Simulates one millisecond: ends of work, deliveries, pauses, arrivals and
  // restarts.
  void Step() {
    now_ += 1ms;
    EndWork();
    Deliver();
    for (std::uint32_t i = 0; i < kEntries; ++i) {
      auto& entry = entries_[i];
      if (entry.paused_until > now_)
        continue;
      if (Chance(faults_.pause)) {
        entry.paused_until = now_ + RandomDuration(800ms);
        continue;
      }
      AcquireSlots(i);
      // Entries alternate between busy and idle, so that each of them lends
      // slots that it soon needs back.
      if (Chance(kLoadChangeChance))
        entry.busy = !entry.busy;
      if (Chance(entry.busy ? kBusyArrivalChance : kIdleArrivalChance))
        Submit(i);
      Apply(i, entry.slots->Tick(now_));
      Send(i, entry.loans->Advance(now_));
      if (Chance(faults_.restart))
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
    // A new process owns slots only after its predecessor's work and loans have
    // ended.
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
  struct message_in_flight {
    time_point arrives;
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    loan_message message;
  };

  bool Chance(double probability) {
    return std::uniform_real_distribution<>(0, 1)(random_) < probability;
  }
  duration RandomDuration(duration longest) {
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

  // The old process is gone, but its work continues at the targets until it
  // ends.
  void Restart(std::uint32_t i) {
    Start(i);
    const limits bounds;
    entries_[i].owns_from =
        now_ + bounds.loan_ttl + bounds.clock_drift + kMaxWorkDuration;
    for (auto& each : running_) {
      if (each.entry == i)
        each.incarnation = 0;
    }
    requests_.erase(i);
  }

  void AcquireSlots(std::uint32_t i) {
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
    request.deadline = now_ + (Chance(0.5) ? kMaxWorkDuration : 100ms);
    requests_[i][request.id] = request.deadline;
    const auto decision = entries_[i].slots->Submit(request, now_);
    if (const auto* grant = std::get_if<slot_grant>(&decision))
      StartWork(i, *grant);
  }

  void StartWork(std::uint32_t i, const slot_grant& grant) {
    const auto deadline = requests_[i].at(grant.request_id);
    // Work ends at its deadline at the latest, when the target stops it.
    const auto ends = Chance(0.5)
                          ? deadline
                          : std::min(deadline, now_ + RandomDuration(100ms));
    running_.push_back({i, 1, grant, ends, deadline, false});
    if (grant.loan_id)
      ++borrowed_work_;
    most_running_ = std::max(most_running_, ++on_target_[grant.target]);
  }

  void EndWork() {
    std::vector<work> notified;
    for (auto& each : running_) {
      if (each.ends > now_)
        continue;
      if (!each.ended_at_target) {
        each.ended_at_target = true;
        --on_target_[each.grant.target];
      }
      // A paused entry is notified of the end only when it resumes.
      if (entries_[each.entry].paused_until <= now_)
        notified.push_back(each);
    }
    std::erase_if(running_, [&](const work& each) {
      return each.ended_at_target && entries_[each.entry].paused_until <= now_;
    });
    for (const auto& each : notified) {
      if (each.incarnation == 0)
        continue;
      Apply(each.entry, entries_[each.entry].slots->Finish(
                            each.grant, attempt_outcome::kOk, 50ms, now_));
    }
  }

  void Apply(std::uint32_t i, const std::vector<wakeup>& wakeups) {
    for (const auto& each : wakeups) {
      if (const auto* grant = std::get_if<slot_grant>(&each.result))
        StartWork(i, *grant);
    }
  }

  void Send(std::uint32_t i, const loan_step_result& step) {
    Apply(i, step.wakeups);
    for (const auto& each : step.messages) {
      const std::uint32_t to = static_cast<std::uint32_t>(each.to.back() - '0');
      int copies = Chance(faults_.loss) ? 0 : 1;
      copies += Chance(faults_.duplication) ? 1 : 0;
      for (int copy = 0; copy < copies; ++copy) {
        // Random delays also reorder messages.
        in_flight_.push_back({now_ + RandomDuration(faults_.longest_delay), i,
                              to, each.message});
      }
    }
  }

  void Deliver() {
    std::vector<message_in_flight> due;
    std::erase_if(in_flight_, [&](const message_in_flight& each) {
      // Messages to a paused process wait in its socket buffer.
      if (each.arrives > now_ || entries_[each.to].paused_until > now_)
        return false;
      due.push_back(each);
      return true;
    });
    for (const auto& each : due) {
      Send(each.to, entries_[each.to].loans->Receive(NameOfEntry(each.from),
                                                     each.message, now_));
    }
  }

  fault_profile faults_;
  std::mt19937_64 random_;
  service service_;
  time_point now_{std::chrono::hours(1)};
  std::vector<entry_state> entries_;
  std::vector<work> running_;
  std::vector<message_in_flight> in_flight_;
  std::map<std::uint32_t, std::map<std::uint64_t, time_point>> requests_;
  std::map<std::string, std::uint32_t> on_target_;
  std::uint64_t incarnation_ = 0;
  std::uint64_t next_id_ = 0;
  std::uint32_t most_running_ = 0;
  std::uint64_t borrowed_work_ = 0;
};

}  // namespace

// Messages between entries are lost, delayed, duplicated and reordered;
// processes pause for most of a second and are replaced. If two entries ever
// used the same slot, a target would run more work than it has slots, and all
// its callers would wait longer.
TEST_CASE("no combination of faults makes a target exceed its slots") {
  std::uint64_t borrowed = 0;
  const bool holds = rc::check([&] {
    fault_profile faults;
    faults.loss = *rc::gen::inRange(0, 40) / 100.0;
    faults.duplication = *rc::gen::inRange(0, 40) / 100.0;
    faults.longest_delay = milliseconds(*rc::gen::inRange(1, 200));
    faults.pause = *rc::gen::inRange(0, 40) / 10'000.0;
    faults.restart = *rc::gen::inRange(0, 6) / 10'000.0;
    faults.seed = *rc::gen::arbitrary<std::uint64_t>();
    loan_simulation entries(faults);
    for (int step = 0; step < 10'000; ++step)
      entries.Step();
    borrowed += entries.borrowed_work();
    RC_ASSERT(entries.most_running() <= kSlotsOfTarget);
  });
  CHECK(holds);
  // The property would hold trivially if nothing had been lent.
  CHECK(borrowed > 10'000);
}
