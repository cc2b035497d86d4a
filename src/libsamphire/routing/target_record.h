#ifndef ROUTING_TARGET_RECORD_H_
#define ROUTING_TARGET_RECORD_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "base/clock_source.h"
#include "routing/attempt_end.h"
#include "routing/decaying_average.h"
#include "routing/live_target.h"
#include "routing/traffic_service.h"

namespace samphire {

// One entry's view of one target: load, keys in memory, speed and health, based
// on the entry's own attempts there. Not thread-safe.
class target_record {
 public:
  // Updates the target's description. If the target has restarted, discards
  // everything but the number of attempts in flight, and treats the target as
  // cold for the service's warm-up time. Clears misdirected().
  void Describe(const live_target& target,
                const traffic_service* service,
                time_point now);

  // Returns the estimated number of requests running or queued at the target,
  // including those of other entries. `peer_factor` is the expected load of
  // other entries as a multiple of this entry's own, for use where no recent
  // report is available.
  double Load(double peer_factor, time_point now) const;
  // Returns the age of the target's last load report; nothing without one.
  std::optional<milliseconds> LoadAge(time_point now) const;
  // Returns whether the target responded for the key recently, so that its data
  // is probably in the target's memory.
  bool KnowsKey(std::uint64_t key_hash, time_point now) const;
  // Returns the number of keys recently answered by the target; the least
  // recent ones are dropped.
  std::size_t key_count() const { return keys_.size(); }
  // Returns the ratio of the target's service time to its service's estimate; 1
  // means as expected.
  double slowness() const { return slowness_; }

  // Returns whether the target has started recently and bears a limited rate
  // only.
  bool IsCold(time_point now) const { return now < cold_until_; }
  // Returns the number of requests sent in the second before `now` while the
  // target was cold.
  std::size_t ColdSends(time_point now);
  // Returns whether the target may get an attempt: it is neither ejected nor
  // misdirected, and while half-open it has none in flight.
  bool IsEligible(time_point now) const;
  // Whether another process was found at the target's address.
  bool misdirected() const { return misdirected_; }
  // Whether the recent share of failures is so high that the target should be
  // avoided.
  bool fails_partially() const { return failure_share_ > kMaxFailureShare; }

  // Counts an attempt as load until Ended is called.
  void Started(time_point now);
  // Reports the end of an attempt. `expected_ms` is the estimated time of the
  // attempt; 0 leaves the slowness unchanged. Returns the time for which the
  // target is ejected as a result; 0 if it is not.
  milliseconds Ended(std::uint64_t key_hash,
                     const attempt_end& end,
                     double expected_ms,
                     const traffic_service* service,
                     time_point now);

 private:
  // A target that fails more than this share of its requests is avoided.
  static constexpr double kMaxFailureShare = 0.35;

  // Half the time in which a queue turns over: short enough to follow a queue
  // that fills, long enough to smooth single requests.
  static constexpr milliseconds kOwnLoadTimeConstant{500};

  milliseconds Eject(time_point now);
  void OnReport(const target_report& report, time_point now);

  std::int64_t started_ms_ = 0;
  std::uint32_t in_flight_ = 0;
  // The mean of `in_flight_` over time.
  decaying_average average_own_load_{kOwnLoadTimeConstant};
  // The load of other entries at the time of the last report.
  double peer_load_ = 0;
  std::optional<time_point> reported_at_;
  double slowness_ = 1;
  double failure_share_ = 0;
  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t consecutive_ejections_ = 0;
  time_point ejected_until_;
  // Set after an ejection, as in a half-open circuit breaker: one attempt at a
  // time until one gets a response or times out.
  bool half_open_ = false;
  bool misdirected_ = false;
  // The target was unreachable, so it may have restarted.
  bool may_be_cold_ = false;
  time_point cold_until_;
  std::deque<time_point> cold_sends_;
  // The time of the last response for each key.
  std::unordered_map<std::uint64_t, time_point> keys_;
};

}  // namespace samphire

#endif  // ROUTING_TARGET_RECORD_H_
