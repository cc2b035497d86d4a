#ifndef ROUTING_LAB_FLEET_H_
#define ROUTING_LAB_FLEET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "decisions/event_queue.h"
#include "routing/entry_place.h"
#include "routing/lab_report.h"
#include "routing/lab_scenario.h"
#include "routing/lab_target.h"
#include "routing/placing.h"
#include "routing/placing_request.h"
#include "routing/retry_window.h"
#include "routing/service_tracker.h"

namespace samphire {

// Entries, targets and callers of a scenario.
class lab_fleet {
 public:
  explicit lab_fleet(const lab_scenario& scenario);

  void Run();
  const lab_report& report() const { return report_; }

 private:
  struct entry {
    entry_place place;
    service_tracker tracker;
    retry_window retries;
  };
  // A caller's request, over its attempts and its one return.
  struct request {
    const lab_route* route = nullptr;
    std::string caller_domain;
    std::string region;
    std::uint64_t key_hash = 0;
    time_point asked;
    // Of the present try, and the one that places its present attempt.
    entry* at = nullptr;
    entry* placer = nullptr;
    bool for_region = false;
    std::vector<std::string> tried;
    std::uint32_t attempts = 0;
    bool came_back = false;
  };
  using request_ptr = std::shared_ptr<request>;

  void AddPlaces();
  void PublishTargets();
  void ScheduleCallers(const lab_route& route, const std::string& region);
  // How many times its mean rate the callers of a region ask now.
  double RateFactor(const std::string& region) const;
  void ScheduleTrouble(const lab_trouble& trouble);
  void Begin(const lab_trouble& trouble);
  void Finish(const lab_trouble& trouble);
  std::vector<lab_target*> Struck(const lab_trouble& trouble);
  void Ask(const lab_route& route, const std::string& region);
  void Enter(const request_ptr& asked);
  void Attempt(const request_ptr& asked);
  entry* PlacerOf(request& asked);
  void Place(const request_ptr& asked);
  void Send(const request_ptr& asked, const placed_attempt& placed);
  void OnEnd(const request_ptr& asked,
             const placed_attempt& placed,
             attempt_result result,
             duration took,
             bool cold);
  void OnRefused(const request_ptr& asked, milliseconds retry_after);
  void OnAnswered(const request_ptr& asked,
                  const live_target& target,
                  bool cold);
  void Fail(const request_ptr& asked);
  template <typename F>
  void Count(const request& asked, F count);
  placing_request WishOf(const request& asked) const;
  duration HopTo(const std::string& region,
                 const std::string& domain,
                 const entry& from) const;

  const lab_scenario& scenario_;
  std::mt19937_64 random_;
  event_queue events_;
  const time_point start_;
  std::vector<std::unique_ptr<entry>> entries_;
  // By region.
  std::map<std::string, std::vector<entry*>> region_entries_;
  std::map<std::string, std::vector<std::string>> entry_names_;
  std::map<std::string, std::vector<std::string>> domains_;
  std::map<std::string, std::unique_ptr<lab_target>> targets_;
  target_set_ptr known_;
  traffic_service service_;
  double burst_ = 1;
  lab_report report_;
};

}  // namespace samphire

#endif  // ROUTING_LAB_FLEET_H_
