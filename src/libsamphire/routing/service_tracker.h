#ifndef ROUTING_SERVICE_TRACKER_H_
#define ROUTING_SERVICE_TRACKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock_source.h"
#include "routing/entry_location.h"
#include "routing/mechanism_set.h"
#include "routing/placement_criteria.h"
#include "routing/placement_result.h"
#include "routing/route_estimates.h"
#include "routing/target_pauses.h"
#include "routing/target_record.h"
#include "routing/target_set.h"
#include "routing/traffic_manifest.h"

namespace samphire {

// Chooses the target of one service for each attempt, or refuses the attempt if
// no target is expected to respond in time. Performs no I/O and takes the time
// as an argument. Not thread-safe.
class service_tracker {
 public:
  // `disabled` lists the mechanisms to leave out, to measure their effect.
  explicit service_tracker(mechanism_set disabled = {})
      : disabled_(std::move(disabled)) {}
  // Not copyable, since `open_targets_` points into `records_`.
  service_tracker(const service_tracker&) = delete;
  service_tracker& operator=(const service_tracker&) = delete;
  service_tracker(service_tracker&&) = default;
  service_tracker& operator=(service_tracker&&) = default;

  // Places an attempt and counts it as load on its target until Ended is
  // called. `service` is null if the manifest does not declare the service;
  // cold targets then get no requests. `self` is this entry. `region_entries`
  // names the live entries of this region; it is empty while they are not known
  // yet. `targets` must be owned by a target_set_ptr, since the tracker keeps a
  // reference to it until it gets another set.
  placement_result Place(const placement_criteria& request,
                         const target_set& targets,
                         const traffic_service* service,
                         std::string_view service_name,
                         const entry_location& self,
                         const std::vector<std::string>& region_entries,
                         time_point now);
  // Returns whether a request should stay in the failure domain of the entry
  // that received it. That entry then places it itself, without the key's
  // owner.
  bool KeepsInDomain(const placement_criteria& request);
  // Reports the end of a placed attempt. Returns the time for which the target
  // is ejected as a result; 0 if it is not.
  milliseconds Ended(const placement_criteria& request,
                     const placed_attempt& attempt,
                     const attempt_end& end,
                     const traffic_service* service,
                     time_point now);

  // Places no attempts at the target until `until`.
  void Pause(const live_target& target, time_point until) {
    pauses_.Pause(target, until);
  }
  // Returns whether any target is paused at `now`, listed or not.
  bool HasPauses(time_point now) { return pauses_.HasAny(now); }
  bool IsPaused(const live_target& target, time_point now) const {
    return now < pauses_.PausedUntil(target);
  }

 private:
  // A target that accepts new requests, with the data that every request needs.
  // Valid as long as the target set is the same.
  struct open_target {
    const live_target* target = nullptr;
    target_record* record = nullptr;
    // The fraction of the target's capacity that callers of this entry should
    // use, by the plan of failure domains and by the plan of regions.
    double domain_share = 0;
    double region_share = 0;
  };
  struct candidate {
    const live_target* target = nullptr;
    target_record* record = nullptr;
    // Ranks for the request's key: weighted by the plan of failure domains, by
    // the plan of regions, and without a plan. The highest rank is the best.
    double domain_rank = 0;
    double region_rank = 0;
    double unweighted_rank = 0;
  };
  struct forecast {
    // The estimated number of requests running or queued.
    double load = 0;
    std::optional<milliseconds> load_age{};
    double wait_ms = 0;
    double service_ms = 0;
    // Whether `service_ms` is based on measured responses.
    bool measured = false;
    bool knows_key = false;
    // Whether the target has enough idle slots for a request whose key it does
    // not have in memory.
    bool idle = false;
    double finish_ms() const { return wait_ms + service_ms; }
  };

  void SyncRecords(const target_set& targets,
                   const traffic_service* service,
                   std::string_view service_name,
                   const entry_location& self,
                   time_point now);
  bool IsEnabled(placement_mechanism mechanism) const {
    return !disabled_.contains(mechanism);
  }
  bool IsEligible(const target_record& record, time_point now) const;
  // Whether the request's home regions and earlier attempts allow the target.
  static bool IsAllowed(const placement_criteria& request,
                        const live_target& target);
  // Refuses a request for which there is no candidate.
  placement_refusal NoCandidate(const placement_criteria& request,
                                time_point now) const;
  bool KnowsKey(const target_record& record,
                std::uint64_t key_hash,
                time_point now) const;
  double Slowness(const target_record& record) const;
  void EstimatePeers(const placement_criteria& request,
                     const std::vector<std::string>& region_entries);
  double PeerFactor(const target_record& record,
                    const placement_criteria& request) const;
  std::vector<candidate> SelectBest(std::vector<candidate> eligible,
                                    bool large) const;
  void RebuildOpenTargets(const target_set& targets,
                          std::string_view service_name,
                          const entry_location& self);
  std::vector<candidate> SelectCandidates(
      const placement_criteria& request,
      const traffic_service* service,
      const entry_location& self,
      const std::vector<std::string>& entries,
      time_point now);
  bool MaySendIfCold(target_record& record,
                     const live_target& target,
                     const traffic_service* service,
                     const entry_location& self,
                     const std::vector<std::string>& entries,
                     time_point now);
  forecast Forecast(const candidate& each,
                    const placement_criteria& request,
                    time_point now);
  // Returns the longest acceptable wait in a queue, in ms.
  static double MaxQueueWaitMs(const forecast& estimate,
                               const placement_criteria& request);
  bool IsAcceptable(const forecast& estimate,
                    const placement_criteria& request) const;
  static placement_refusal QueueFull(const forecast& shortest,
                                     std::size_t candidates,
                                     const placement_criteria& request);
  route_estimates& EstimatesFor(const placement_criteria& request);
  static placement_result StartAttempt(const candidate& chosen,
                                       const forecast& estimate,
                                       time_point now);

  mechanism_set disabled_;
  // The set that `records_` and `open_targets_` were last built from.
  target_set_ptr synced_set_;
  // The estimated number of keys that other entries have at a target on
  // average, if this entry places for its region, else 0; and the number of
  // other entries, which bounds PeerFactor().
  double peer_keys_ = 0;
  double peers_ = 0;
  std::map<std::string, target_record, std::less<>> records_;
  target_pauses pauses_;
  // The targets of the set that accept new requests.
  std::vector<open_target> open_targets_;
  std::map<std::string, route_estimates, std::less<>> routes_;
};

}  // namespace samphire

#endif  // ROUTING_SERVICE_TRACKER_H_
