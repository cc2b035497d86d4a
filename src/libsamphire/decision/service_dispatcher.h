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
#include "decision/borrowed_loan.h"
#include "decision/bulk_limit.h"
#include "decision/cancel_result.h"
#include "decision/class_load.h"
#include "decision/dispatcher_status.h"
#include "decision/lent_slot.h"
#include "decision/load_shedder.h"
#include "decision/loan_demand.h"
#include "decision/owned_slots.h"
#include "decision/queue_order.h"
#include "decision/shift_account.h"
#include "decision/start_interval.h"
#include "decision/target_pool.h"
#include "decision/wait_queue.h"
#include "decision/wakeup.h"

namespace samphire {

// Admission control of one service at one entry of the region that owns the
// targets: admits, queues or refuses requests and places them on targets. Does
// no I/O and reads no clock: the time is a parameter, and a seed makes all
// decisions deterministic. Not thread-safe, but for the shift account, which
// may be shared between threads. Any call that is not const may change the
// result of NextTick.
class service_dispatcher {
 public:
  service_dispatcher(const service& declared,
                     const limits& bounds,
                     std::string own_region,
                     std::uint64_t seed,
                     queue_order order = queue_order::kArrival);
  // Shares the shift account with the dispatchers of the entry's other
  // services.
  service_dispatcher(const service& declared,
                     const limits& bounds,
                     shift_account_ptr shifts,
                     std::uint64_t seed,
                     queue_order order = queue_order::kArrival);
  ~service_dispatcher();

  // Applies a changed declaration. A class with waiting requests keeps its
  // previous rules, except for the queue limit, until a later call finds none
  // of its requests waiting.
  std::vector<wakeup> SetService(const service& declared,
                                 const limits& bounds,
                                 time_point now);
  // Replaces the slots owned through slot partitions, by target.
  std::vector<wakeup> SetOwnedSlots(const std::vector<owned_slots>& owned,
                                    time_point now);
  // Sets the targets that are draining, leaving or gone: they get no new work;
  // running work continues.
  std::vector<wakeup> SetClosedTargets(const std::set<std::string>& closed,
                                       time_point now);
  // Replaces the shift caps and this entry's share of them. Waiting requests
  // that the new caps admit start in a later call that returns wakeups.
  void SetShiftCaps(const std::vector<shift_cap>& caps,
                    const shift_share& share);
  // Sets the load that a target reports of itself, in 0..1; it only breaks ties
  // between targets.
  void SetLoadHint(std::string_view target, double load);

  // Admits, queues or refuses a request. The decision on a queued request
  // follows as a wakeup from a later call.
  admission_decision Submit(const admission_request& request, time_point now);
  // Ends a grant and serves waiting requests. `latency` is the time that the
  // target took, without waiting at this entry. Ending the same grant a second
  // time has no effect.
  std::vector<wakeup> Finish(const slot_grant& grant,
                             attempt_outcome outcome,
                             duration latency,
                             time_point now);
  // Removes a waiting request. A running one is ended with Finish.
  cancel_result Cancel(std::uint64_t request_id, time_point now);
  // Refuses the waiting requests that have expired, and serves others as ramps,
  // ejections and loans progress.
  std::vector<wakeup> Tick(time_point now);
  // Returns when Tick has something to do; time_point::max() if nothing is due.
  time_point NextTick(time_point now) const;

  // Borrowing side: slots that this entry's waiting requests could use beyond
  // its own; none if they need no loan.
  std::optional<loan_demand> LoanDemand(time_point now) const;
  std::vector<wakeup> AddLoan(const borrowed_loan& loan, time_point now);
  // Extends a loan until `usable_until`; unknown ids are ignored.
  void RenewLoan(std::uint64_t loan_id, time_point usable_until);
  // Whether the loan is among this entry's loans, idle or busy.
  bool HasLoan(std::uint64_t loan_id) const;
  // Removes and returns the idle loans that have no further use; the caller
  // returns them to their lenders.
  std::vector<std::uint64_t> RemoveIdleLoans(time_point now);

  // Lending side. Lend removes the slot that it returns from this entry's
  // usable slots until LoanReturned is called for its target.
  std::optional<lent_slot> Lend(time_point now);
  std::vector<wakeup> LoanReturned(const std::string& target, time_point now);
  // Reports that a peer's request, waiting since `oldest`, asks for a slot:
  // this entry's waiting requests that arrived later leave the next free slot
  // to it. None: no peer asks for a slot.
  std::vector<wakeup> SetOldestLoanRequest(std::optional<time_point> oldest,
                                           time_point now);

  dispatcher_status status(time_point now) const;
  // Returns the number of slots that are in use or lent beyond those owned,
  // because a slot partition was released while they were.
  std::uint32_t excess_slots() const;
  // Returns the targets that are closed or no longer declared and on which work
  // is still running.
  std::set<std::string> draining() const;

 private:
  struct running_work {
    placement place;
    class_load* load = nullptr;
    std::string home_region;
    time_point started;
  };

  class_load& LoadOf(const request_class& rules);
  // Refuses a request that can't be served whether or not it waits.
  std::optional<refusal> RefuseAtOnce(const admission_request& request,
                                      const class_load& load,
                                      time_point now);
  // Refuses a request that would wait too long or exceed a limit.
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

  // Refuses expired requests and starts waiting ones while there are slots.
  std::vector<wakeup> Serve(time_point now);
  wakeup RefuseExpired(const waiter& entry, time_point now);
  void Expire(time_point now, std::vector<wakeup>& wakeups);
  // Starts the first waiting request that can start; returns whether another
  // call may serve more.
  bool ServeOne(request_kind kind,
                time_point now,
                std::vector<wakeup>& wakeups);
  bool IsBulkStarved(time_point now) const;
  bool BulkMayStart(time_point now) const;
  bool YieldsSlotToPeer(time_point arrived, time_point now) const;

  // Returns the expected time from one start to the next while requests wait.
  duration StartInterval(request_kind kind, time_point now) const;
  // Returns the estimated time until a request that is queued now gets a slot.
  duration ExpectedWait(request_kind kind,
                        priority rank,
                        const std::string& home_region,
                        time_point now) const;
  // Returns how long the shift cap alone delays one more request.
  duration ShiftWait(const class_load& load,
                     const std::string& home_region,
                     time_point now) const;
  // Returns the time to reserve for running a request of the class, out of the
  // `whole_time` between its arrival and its deadline.
  duration NeededTime(const class_load& load, duration whole_time) const;
  bool IsTooLate(const waiter& entry, time_point now) const;
  bool HasStartableRequest(time_point now) const;
  void RecordInteractiveLoad(time_point now);
  void RecordInteractiveStart(priority rank, duration waited, time_point now);

  static std::size_t IndexOf(request_kind kind) {
    return static_cast<std::size_t>(kind);
  }

  limits bounds_;
  std::mt19937_64 random_;
  target_pool pool_;
  shift_account_ptr shifts_;
  load_shedder shedder_;
  start_interval interactive_start_interval_;
  bulk_limit bulk_;
  wait_queue queue_;
  // Per-class state by name, and service times by kind.
  std::map<std::string, std::unique_ptr<class_load>, std::less<>> loads_;
  std::array<service_time, 2> service_time_by_kind_;
  std::unordered_map<std::uint64_t, running_work> running_;
  std::map<result_code, std::uint64_t> refusals_;
  std::optional<time_point> oldest_loan_request_;
  std::uint64_t next_grant_ = 1;
  std::uint32_t bulk_running_ = 0;
  std::uint32_t interactive_running_ = 0;
};

}  // namespace samphire

#endif  // DECISION_SERVICE_DISPATCHER_H_
