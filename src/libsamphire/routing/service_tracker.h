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
#include "routing/entry_place.h"
#include "routing/mechanism_set.h"
#include "routing/placing.h"
#include "routing/placing_request.h"
#include "routing/route_record.h"
#include "routing/target_record.h"
#include "routing/target_set.h"
#include "routing/traffic_manifest.h"

namespace samphire {

// Decides at which target of one service each attempt runs, or that none
// would answer it in time. Knows no sockets and no clock. Not thread-safe.
class service_tracker {
 public:
  // `without`: what placing leaves out, to measure what it is worth.
  explicit service_tracker(mechanism_set without = {})
      : without_(std::move(without)) {}
  // Its list of open targets points into its own records.
  service_tracker(const service_tracker&) = delete;
  service_tracker& operator=(const service_tracker&) = delete;
  service_tracker(service_tracker&&) = default;
  service_tracker& operator=(service_tracker&&) = default;

  // Places an attempt and counts it as work there until Ended.
  // `region_entries` are the live entries of this region, by name; none while
  // they are not known yet.
  placing Place(const placing_request& request,
                const target_set& targets,
                const traffic_service* service,
                std::string_view service_name,
                const entry_place& self,
                const std::vector<std::string>& region_entries,
                time_point now);
  // Whether a request is to stay in the failure domain of the entry that it
  // reached, which then places it itself.
  bool KeepsInDomain(const placing_request& request);
  // Returns for how long the target is left alone now, 0 for not at all.
  milliseconds Ended(const placing_request& request,
                     const placed_attempt& attempt,
                     const attempt_end& end,
                     const traffic_service* service,
                     time_point now);

 private:
  // What every request needs of a target, as long as the set stays.
  struct open_target {
    const live_target* target = nullptr;
    target_record* record = nullptr;
    // How much of it this entry's callers are to use, by the plan of failure
    // domains and by that of regions.
    double domain_share = 0;
    double region_share = 0;
  };
  struct candidate {
    const live_target* target = nullptr;
    target_record* record = nullptr;
    // Among targets as the plan of domains and that of regions weigh them, and
    // among all alike.
    double domain_rank = 0;
    double region_rank = 0;
    double anywhere_rank = 0;
  };
  struct forecast {
    // Work that is there, running or waiting.
    double load = 0;
    std::optional<milliseconds> load_age{};
    double wait_ms = 0;
    double service_ms = 0;
    // Answers stand behind `service_ms`.
    bool learned = false;
    bool knows_key = false;
    // There are slots to spare.
    bool idle = false;
    double finish_ms() const { return wait_ms + service_ms; }
  };

  void Follow(const target_set& targets,
              const traffic_service* service,
              std::string_view service_name,
              const entry_place& self,
              time_point now);
  bool Uses(placing_mechanism mechanism) const {
    return !without_.contains(mechanism);
  }
  bool IsFit(const target_record& record, time_point now) const;
  bool KnowsKey(const target_record& record,
                std::uint64_t key_hash,
                time_point now) const;
  double Slowness(const target_record& record) const;
  void CountPeers(const placing_request& request,
                  const std::vector<std::string>& region_entries);
  double PeersAt(const target_record& record,
                 const placing_request& request) const;
  std::vector<candidate> Best(std::vector<candidate> fit, bool large) const;
  void ListOpen(const target_set& targets,
                std::string_view service_name,
                const entry_place& self);
  std::vector<candidate> Candidates(const placing_request& request,
                                    const traffic_service* service,
                                    const entry_place& self,
                                    const std::vector<std::string>& entries,
                                    time_point now);
  bool MayTakeCold(target_record& record,
                   const live_target& target,
                   const traffic_service* service,
                   const entry_place& self,
                   const std::vector<std::string>& entries,
                   time_point now);
  forecast Forecast(const candidate& each,
                    const placing_request& request,
                    time_point now);
  // How long a queue may be for an answer that is worth waiting for, in ms.
  static double Patience(const forecast& outlook,
                         const placing_request& request);
  bool IsInTime(const forecast& outlook, const placing_request& request) const;
  static placing_refusal Full(const forecast& nearest,
                              std::size_t candidates,
                              const placing_request& request);
  route_record& RouteOf(const placing_request& request);
  static placing Start(const candidate& chosen,
                       const forecast& outlook,
                       time_point now);

  mechanism_set without_;
  // The set that the records were last made to match.
  target_set_ptr followed_;
  // Keys of other entries at a target, in the mean, where this one places for
  // its region; and how many entries there are at most to have them.
  double peer_keys_ = 0;
  double peers_ = 0;
  std::map<std::string, target_record, std::less<>> records_;
  // The targets of the set that may be given new work.
  std::vector<open_target> open_;
  std::map<std::string, route_record, std::less<>> routes_;
};

}  // namespace samphire

#endif  // ROUTING_SERVICE_TRACKER_H_
