#ifndef DECISION_SERVICE_DISPATCHER_H_
#define DECISION_SERVICE_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock_source.h"
#include "config/limits.h"
#include "config/service.h"
#include "config/shift_cap.h"
#include "decision/admission_decision.h"
#include "decision/admission_request.h"
#include "decision/attempt_outcome.h"
#include "decision/bulk_limit.h"
#include "decision/cancel_result.h"
#include "decision/class_load.h"
#include "decision/dispatcher_status.h"
#include "decision/held_loan.h"
#include "decision/lent_slot.h"
#include "decision/load_shedder.h"
#include "decision/loan_wish.h"
#include "decision/owned_slots.h"
#include "decision/queue_order.h"
#include "decision/shift_account.h"
#include "decision/start_gap.h"
#include "decision/target_pool.h"
#include "decision/wait_queue.h"
#include "decision/wakeup.h"

namespace samphire {

// Admits, queues, refuses and places the requests of one service at one entry
// of the region that owns the targets. Pure: the time is a parameter, and a
// seed makes it deterministic. Not thread-safe. After any call that returns
// wakeups, NextTick may have moved.
class service_dispatcher {
 public:
  service_dispatcher(const service& declared,
                     const limits& bounds,
                     std::string own_region,
                     std::uint64_t seed,
                     queue_order order = queue_order::kArrival);
  // Shares the shift budget with the entry's other services.
  service_dispatcher(const service& declared,
                     const limits& bounds,
                     shift_account_ptr shifts,
                     std::uint64_t seed,
                     queue_order order = queue_order::kArrival);
  ~service_dispatcher();

  // A changed declaration. Waiting requests keep the rules they came under.
  std::vector<wakeup> SetService(const service& declared,
                                 const limits& bounds,
                                 time_point now);
  std::vector<wakeup> SetOwnedSlots(const std::vector<owned_slots>& owned,
                                    time_point now);
  // Draining, leaving or gone targets: no new work; what runs goes on.
  std::vector<wakeup> SetClosedTargets(const std::set<std::string>& closed,
                                       time_point now);
  void SetShiftCaps(const std::vector<shift_cap>& caps,
                    const shift_share& share);
  // What a target says of its own load, in 0..1; only ever a tie-breaker.
  void SetLoadHint(std::string_view target, double load);

  admission_decision Submit(const admission_request& request, time_point now);
  // Ends a grant. `latency` is the target's alone. A second end of the same
  // grant changes nothing.
  std::vector<wakeup> Finish(const slot_grant& grant,
                             attempt_outcome outcome,
                             duration latency,
                             time_point now);
  // Drops a waiting request. One that runs ends with Finish.
  cancel_result Cancel(std::uint64_t request_id, time_point now);
  // Expires waiters, and serves others as ramps, ejections and loans move.
  std::vector<wakeup> Tick(time_point now);
  // When Tick has something to do; time_point::max() if nothing is due.
  time_point NextTick(time_point now) const;

  // Borrowing side.
  std::optional<loan_wish> WantsLoan(time_point now) const;
  std::vector<wakeup> AddLoan(const held_loan& loan, time_point now);
  void RenewLoan(std::uint64_t loan_id, time_point usable_until);
  bool HoldsLoan(std::uint64_t loan_id) const;
  // Idle loans with no more use; they are no longer this entry's.
  std::vector<std::uint64_t> TakeIdleLoans(time_point now);

  // Lending side. Lend lowers this entry's own share by the slot it returns.
  std::optional<lent_slot> Lend(time_point now);
  std::vector<wakeup> LoanReturned(const std::string& target, time_point now);
  // A peer's request that waits since `oldest` asks for a slot: own waiters
  // that came later leave the next free slot to it. None: nobody asks.
  std::vector<wakeup> SetOldestAsk(std::optional<time_point> oldest,
                                   time_point now);

  dispatcher_status status(time_point now) const;
  // Slots that are in use or lent beyond those owned, since a seat was given
  // up while they were.
  std::uint32_t over_owned() const;
  // Closed targets on which work still runs.
  std::set<std::string> draining() const;

 private:
  struct running_work {
    placement place;
    class_load* load = nullptr;
    std::string home_region;
    time_point started;
  };

  class_load& LoadOf(const request_class& rules);
  std::optional<refusal> RefuseAtOnce(const admission_request& request,
                                      const class_load& load,
                                      time_point now);
  std::optional<refusal> RefuseToQueue(const admission_request& request,
                                       const class_load& load,
                                       time_point now);
  std::optional<slot_grant> TryStart(const admission_request& request,
                                     class_load& load,
                                     time_point now);
  slot_grant Start(const admission_request& request,
                   class_load& load,
                   const placement& place,
                   time_point now);
  admission_decision Enqueue(const admission_request& request,
                             class_load& load,
                             time_point now);
  refusal Refuse(result_code reason, duration retry_after);

  std::vector<wakeup> Serve(time_point now);
  wakeup TellExpired(const waiter& entry, time_point now);
  void Expire(time_point now, std::vector<wakeup>& wakeups);
  bool ServeOne(request_kind kind,
                time_point now,
                std::vector<wakeup>& wakeups);
  bool BulkIsStarved(time_point now) const;
  bool BulkMayStart(time_point now) const;
  bool LeavesSlotToPeer(time_point arrived, time_point now) const;

  // The time from one start to the next while requests wait.
  duration Pace(request_kind kind, time_point now) const;
  duration ExpectedWait(request_kind kind,
                        priority rank,
                        const std::string& home_region,
                        time_point now) const;
  // How long the shift cap alone holds up one more request.
  duration ShiftWait(const class_load& load,
                     const std::string& home_region,
                     time_point now) const;
  duration NeededTime(const class_load& load, duration whole_time) const;
  bool IsTooLate(const waiter& entry, time_point now) const;
  bool HasStartable(time_point now) const;
  void NoteInteractiveLoad(time_point now);
  void NoteInteractiveStart(priority rank, duration waited, time_point now);

  static std::size_t IndexOf(request_kind kind) {
    return static_cast<std::size_t>(kind);
  }

  limits bounds_;
  std::mt19937_64 random_;
  target_pool pool_;
  shift_account_ptr shifts_;
  load_shedder shedder_;
  start_gap interactive_gap_;
  bulk_limit bulk_;
  wait_queue queue_;
  // By class name and by kind.
  std::map<std::string, std::unique_ptr<class_load>, std::less<>> loads_;
  std::array<service_time, 2> kind_service_;
  std::unordered_map<std::uint64_t, running_work> running_;
  std::map<result_code, std::uint64_t> refusals_;
  std::optional<time_point> oldest_ask_;
  std::uint64_t next_grant_ = 1;
  std::uint32_t bulk_running_ = 0;
  std::uint32_t interactive_running_ = 0;
};

}  // namespace samphire

#endif  // DECISION_SERVICE_DISPATCHER_H_
