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

// What one entry knows of one target from its own attempts there.
class target_record {
 public:
  // What the target says of itself changed. A new start forgets all.
  void Describe(const live_target& target,
                const traffic_service* service,
                time_point now);

  // Work running or waiting there, of this entry and as far as known of others.
  // `peers`: how many times this entry's own work others have there, if nothing
  // better is known.
  double Load(double peers, time_point now) const;
  // How old the target's last report of its load is; nothing without one.
  std::optional<milliseconds> LoadAge(time_point now) const;
  bool KnowsKey(std::uint64_t key_hash, time_point now) const;
  // Keys that it has been sent; the oldest are forgotten.
  std::size_t key_count() const { return keys_.size(); }
  // How much slower it is than its service's estimate; 1 is as expected.
  double slowness() const { return slowness_; }

  bool IsCold(time_point now) const { return now < cold_until_; }
  // Requests sent in the second before `now`, while it was cold.
  std::size_t ColdSends(time_point now);
  // Whether it may be given work as far as its failures tell.
  bool IsFit(time_point now) const;
  // Another process was met at its address.
  bool misdirected() const { return misdirected_; }
  bool fails_in_part() const { return failure_share_ > kFailingShare; }

  void Started(time_point now);
  // `expected_ms` is what the estimate said; 0 if there was none. Returns for
  // how long the target is left alone now, 0 for not at all.
  milliseconds Ended(std::uint64_t key_hash,
                     const attempt_end& end,
                     double expected_ms,
                     const traffic_service* service,
                     time_point now);

 private:
  // A target that fails this share of its requests is avoided.
  static constexpr double kFailingShare = 0.35;

  // Half the time in which a queue turns over: short enough to see it fill,
  // long enough to even out single requests.
  static constexpr milliseconds kOwnLoadMemory{500};

  milliseconds Eject(time_point now);
  void NoteReport(const target_report& report, time_point now);

  std::int64_t started_ms_ = 0;
  std::uint32_t in_flight_ = 0;
  // Of the work in flight.
  decaying_average own_load_{kOwnLoadMemory};
  // Others' work at the last report.
  double others_ = 0;
  std::optional<time_point> reported_at_;
  double slowness_ = 1;
  double failure_share_ = 0;
  std::uint32_t failures_in_a_row_ = 0;
  std::uint32_t ejections_in_a_row_ = 0;
  time_point ejected_until_;
  // After an ejection: one request at a time until one is answered.
  bool on_trial_ = false;
  bool misdirected_ = false;
  // It was unreachable, so it may have started anew.
  bool may_be_cold_ = false;
  time_point cold_until_;
  std::deque<time_point> cold_sends_;
  // When each key was last answered there.
  std::unordered_map<std::uint64_t, time_point> keys_;
};

}  // namespace samphire

#endif  // ROUTING_TARGET_RECORD_H_
