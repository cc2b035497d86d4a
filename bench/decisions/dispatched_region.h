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
#include "decisions/recorder.h"
#include "decisions/scenario.h"
#include "decisions/workload.h"

namespace samphire {

// A region whose entries decide by service_dispatcher, with or without loans.
class dispatched_region {
 public:
  dispatched_region(const scenario& input,
                    event_queue& events,
                    recorder& results,
                    run_report& report);

  void Arrive(const request_ptr& request);
  // Adds the entries' own counts to the report.
  void Close();

 private:
  struct simulated_entry {
    std::string name;
    std::unique_ptr<service_dispatcher> slots;
    std::unique_ptr<loan_ledger> loans;
    time_point next_tick = time_point::max();
  };

  simulated_entry& EntryOf(const std::string& name);
  void Gossip();
  void SendHints();
  void Step(simulated_entry& entry);
  void Apply(simulated_entry& entry, const std::vector<wakeup>& wakeups);
  void Carry(simulated_entry& from, const loan_outbox& messages);
  void Begin(simulated_entry& entry, const slot_grant& grant);
  void End(simulated_entry& entry,
           const slot_grant& grant,
           const request_ptr& request,
           bool in_time,
           duration took);
  void Refuse(std::uint64_t id, result_code reason);
  void ScheduleTick(simulated_entry& entry);

  const scenario& input_;
  event_queue& events_;
  recorder& results_;
  run_report& report_;
  service service_;
  std::mt19937_64 random_;
  std::vector<simulated_entry> entries_;
  std::unordered_map<std::uint64_t, request_ptr> open_;
  std::unordered_map<std::string, std::uint32_t> on_target_;
  std::uint32_t shifted_running_ = 0;
};

}  // namespace samphire

#endif  // DECISIONS_DISPATCHED_REGION_H_
