#ifndef GATEWAY_SERVICE_GATE_H_
#define GATEWAY_SERVICE_GATE_H_

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "allowance/loan_ledger.h"
#include "base/clock_source.h"
#include "decision/service_dispatcher.h"
#include "gateway/slot_wait_result.h"
#include "proxy/caller_watch.h"

namespace samphire {

// Admission control of one service at one entry, shared by the threads that
// serve its requests: the dispatcher and the loans under one lock, and the
// waiting threads. Thread-safe; reference-counted.
class service_gate
    : public boost::intrusive_ref_counter<service_gate,
                                          boost::thread_safe_counter> {
 public:
  // Sends loan messages to peers; called without the gate's lock, by the thread
  // whose call caused them.
  using message_sink = std::function<void(const loan_outbox&)>;

  // `part` is the part of the service in this entry's region.
  service_gate(const service& part,
               const limits& bounds,
               shift_account_ptr shifts,
               std::uint64_t incarnation,
               const clock_source& clock,
               message_sink sink);

  // Blocks until the request has a slot, is refused, or its caller disconnects.
  // Each slot that is granted must be released with Finish.
  slot_wait_result Acquire(const admission_request& request,
                           const caller_watch& caller);
  // Releases a slot; `latency` is the time that the target took.
  void Finish(const slot_grant& grant,
              attempt_outcome outcome,
              duration latency);

  // These functions apply a change of the configuration, of the owned slots, of
  // the targets that get no new work, or of the members that may lend slots;
  // see service_dispatcher and loan_ledger.
  void SetService(const service& part, const limits& bounds);
  void SetOwnedSlots(const std::vector<owned_slots>& owned);
  void SetClosedTargets(const std::set<std::string>& closed);
  void SetLenders(std::vector<lender_digest> lenders);
  // Handles a loan message from the member `from`.
  void Receive(const std::string& from, const loan_message& message);
  // Handles expiries, ramps and loans that are due; called every few
  // milliseconds.
  void Tick();
  // Returns borrowed slots and stops lending and borrowing for good, because
  // the entry is leaving.
  void Leave();

  dispatcher_status status() const;
  loan_counts loans() const;
  // Returns the closed targets on which work is still running.
  std::set<std::string> draining() const;
  // Returns service_dispatcher::excess_slots: the slots in use or lent beyond
  // those owned.
  std::uint32_t excess_slot_count() const;

 private:
  // A thread in Acquire whose request is queued.
  struct waiter {
    std::condition_variable wake;
    // Set under the lock when the request leaves the queue.
    std::optional<std::variant<slot_grant, refusal>> resolution;
  };

  // Calls `step` with the current time under the lock, resolves the waiters
  // that its wakeups name, advances the loans, and sends loan messages after
  // the lock is released.
  template <typename Step>
  void Run(Step&& step);
  // Resolves and wakes the waiters; called under the lock.
  void Deliver(const std::vector<wakeup>& wakeups);
  // Advances the loans after a change of the dispatcher; called under the lock.
  loan_outbox FollowLoans(time_point now);
  // Waits until the request is resolved or its caller disconnects.
  slot_wait_result Await(std::unique_lock<std::mutex>& guard,
                         waiter& self,
                         std::uint64_t request_id,
                         const caller_watch& caller);
  // Removes the request of a disconnected caller from the queue.
  slot_wait_result CancelWait(std::uint64_t request_id);

  const clock_source& clock_;
  const message_sink sink_;
  mutable std::mutex lock_;
  service_dispatcher dispatcher_;
  loan_ledger loans_;
  // By request id.
  std::unordered_map<std::uint64_t, waiter*> waiters_;
};

}  // namespace samphire

#endif  // GATEWAY_SERVICE_GATE_H_
