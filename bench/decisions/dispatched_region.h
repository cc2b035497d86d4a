#ifndef DECISIONS_DISPATCHED_REGION_H_
#define DECISIONS_DISPATCHED_REGION_H_

#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "allowance/loan_ledger.h"
#include "decision/service_dispatcher.h"
#include "decisions/event_queue.h"
#include "decisions/outcome_counter.h"
#include "decisions/scenario.h"
#include "decisions/workload.h"

namespace samphire {

// Simulates a region whose entries run the production service_dispatcher, with
// or without the production loan protocol between them. Messages and gossip are
// simulated: each loan message takes a fixed time or is lost. Single-threaded,
// driven by the event queue. Keeps references to all constructor arguments.
class dispatched_region {
 public:
  dispatched_region(const scenario& input,
                    event_queue& events,
                    outcome_counter& results,
                    run_report& report);

  // Submits the request to its entry's dispatcher.
  void HandleArrival(const request_ptr& request);
  // Adds the loan counts of all entries to the report. To be called once, after
  // the run.
  void AddEntryCounts();

 private:
  struct simulated_entry {
    std::string name;
    std::unique_ptr<service_dispatcher> dispatcher;
    std::unique_ptr<loan_ledger> loans;
    // When the scheduled tick is due; max() if none is scheduled.
    time_point next_tick = time_point::max();
  };

  // Every name in a loan message is that of a simulated entry.
  simulated_entry& EntryOf(const std::string& name);
  // Tells each entry how many slots its peers have free, and schedules the next
  // round.
  void Gossip();
  // Reports the slow target as idle and the others as full.
  void SendHints();
  // Advances the entry's loans and schedules its next tick. To be called after
  // every call into the dispatcher.
  void AdvanceEntry(simulated_entry& entry);
  // Starts or refuses the waiting requests that the dispatcher has decided on.
  void ApplyWakeups(simulated_entry& entry, const std::vector<wakeup>& wakeups);
  // Delivers loan messages after the one-way delay, except those that are lost.
  void SendMessages(simulated_entry& from, const loan_outbox& messages);
  void StartRequest(simulated_entry& entry, const slot_grant& grant);
  void FinishRequest(simulated_entry& entry,
                     const slot_grant& grant,
                     const request_ptr& request,
                     bool in_time,
                     duration run_time);
  void RecordRefusal(std::uint64_t id, result_code reason);
  void ScheduleTick(simulated_entry& entry);

  const scenario& input_;
  event_queue& events_;
  outcome_counter& results_;
  run_report& report_;
  service service_;
  std::mt19937_64 random_;
  std::vector<simulated_entry> entries_;
  // Requests that wait or run, by id.
  std::unordered_map<std::uint64_t, request_ptr> unfinished_;
  // Requests in flight by target, over all entries.
  std::unordered_map<std::string, std::uint32_t> running_on_target_;
  std::uint32_t shifted_running_ = 0;
};

}  // namespace samphire

#endif  // DECISIONS_DISPATCHED_REGION_H_
