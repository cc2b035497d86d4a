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
#include "gateway/slot_wait.h"
#include "proxy/caller_watch.h"

namespace samphire {

// The decisions of one service, shared by the threads that serve its requests:
// the dispatcher and its loans under one lock, and the threads that wait.
class service_gate
    : public boost::intrusive_ref_counter<service_gate,
                                          boost::thread_safe_counter> {
 public:
  // Carries loan messages to peers; called without the gate's lock.
  using message_sink = std::function<void(const loan_outbox&)>;

  service_gate(const service& part,
               const limits& bounds,
               shift_account_ptr shifts,
               std::uint64_t incarnation,
               const clock_source& clock,
               message_sink sink);

  // Blocks until the request has a slot, is refused, or its caller leaves.
  slot_wait Acquire(const admission_request& request,
                    const caller_watch& caller);
  void Finish(const slot_grant& grant,
              attempt_outcome outcome,
              duration latency);

  void SetService(const service& part, const limits& bounds);
  void SetOwnedSlots(const std::vector<owned_slots>& owned);
  void SetClosedTargets(const std::set<std::string>& closed);
  void SetLenders(std::vector<lender_digest> lenders);
  void Receive(const std::string& from, const loan_message& message);
  void Tick();
  // Gives borrowed slots back and lends no more.
  void Leave();

  dispatcher_status status() const;
  loan_counts loans() const;
  // Closed targets on which work still runs.
  std::set<std::string> draining() const;
  // See service_dispatcher.
  std::uint32_t over_owned() const;

 private:
  struct waiter {
    std::condition_variable wake;
    std::optional<std::variant<slot_grant, refusal>> fate;
  };

  // Runs `step` on the dispatcher under the lock, wakes whom it serves, lets
  // the loans follow, and sends their messages after the lock is free.
  template <typename Step>
  void Run(Step&& step);
  void Deliver(const std::vector<wakeup>& wakeups);
  loan_outbox FollowLoans(time_point now);
  slot_wait Await(std::unique_lock<std::mutex>& guard,
                  waiter& self,
                  std::uint64_t request_id,
                  const caller_watch& caller);
  slot_wait GiveUp(std::uint64_t request_id);

  const clock_source& clock_;
  const message_sink sink_;
  mutable std::mutex lock_;
  service_dispatcher dispatcher_;
  loan_ledger loans_;
  std::unordered_map<std::uint64_t, waiter*> waiters_;
};

}  // namespace samphire

#endif  // GATEWAY_SERVICE_GATE_H_
