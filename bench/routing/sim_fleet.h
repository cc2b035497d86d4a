#ifndef ROUTING_SIM_FLEET_H_
#define ROUTING_SIM_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "decisions/event_queue.h"
#include "routing/entry_location.h"
#include "routing/placement_criteria.h"
#include "routing/placement_result.h"
#include "routing/retry_window.h"
#include "routing/service_tracker.h"
#include "routing/sim_report.h"
#include "routing/sim_scenario.h"
#include "routing/sim_target.h"

namespace samphire {

// The entries, targets and callers of a scenario, in simulated time. Not
// thread-safe.
class sim_fleet {
 public:
  explicit sim_fleet(const sim_scenario& scenario);

  // Runs the scenario until all requests have ended. May be called once.
  void Run();
  const sim_report& report() const { return report_; }

 private:
  struct entry {
    entry_location location;
    service_tracker tracker;
    retry_window retries;
  };
  // A caller's request, over its attempts and the caller's one retry.
  struct sim_request {
    const sim_route* route = nullptr;
    std::string caller_domain;
    std::string region;
    std::uint64_t key_hash = 0;
    time_point issued_at;
    // The entry that received the request most recently, and the one that
    // places its current attempt.
    entry* receiver = nullptr;
    entry* placer = nullptr;
    bool for_region = false;
    std::vector<std::string> tried_targets;
    std::uint32_t attempts = 0;
    bool retried = false;
  };
  using request_ptr = std::shared_ptr<sim_request>;

  void AddEntriesAndTargets();
  void PublishTargets();
  void ScheduleNextRequest(const sim_route& route, const std::string& region);
  // Returns the current rate of a region's requests relative to their mean.
  double RateFactor(const std::string& region) const;
  void ScheduleFault(const sim_fault& fault);
  void BeginFault(const sim_fault& fault);
  void EndFault(const sim_fault& fault);
  std::vector<sim_target*> AffectedTargets(const sim_fault& fault);
  void IssueRequest(const sim_route& route, const std::string& region);
  void SendToEntry(const request_ptr& request);
  void Attempt(const request_ptr& request);
  entry* ChoosePlacer(sim_request& request);
  void Place(const request_ptr& request);
  void Send(const request_ptr& request, const placed_attempt& placed);
  void OnEnd(const request_ptr& request,
             const placed_attempt& placed,
             attempt_result result,
             duration took,
             bool cold);
  void OnRefused(const request_ptr& request, milliseconds retry_after);
  void OnAnswered(const request_ptr& request,
                  const live_target& target,
                  bool cold);
  void Fail(const request_ptr& request);
  template <typename F>
  void AddToTallies(const sim_request& request, F count);
  placement_criteria CriteriaFor(const sim_request& request) const;
  duration HopDelay(const std::string& region,
                    const std::string& domain,
                    const entry& from) const;

  const sim_scenario& scenario_;
  std::mt19937_64 random_;
  event_queue events_;
  const time_point start_;
  std::vector<std::unique_ptr<entry>> entries_;
  // Entries, their names and failure domains by region.
  std::map<std::string, std::vector<entry*>> region_entries_;
  std::map<std::string, std::vector<std::string>> entry_names_;
  std::map<std::string, std::vector<std::string>> domains_;
  std::map<std::string, std::unique_ptr<sim_target>> targets_;
  target_set_ptr target_set_;
  traffic_service service_;
  double burst_ = 1;
  sim_report report_;
};

}  // namespace samphire

#endif  // ROUTING_SIM_FLEET_H_
