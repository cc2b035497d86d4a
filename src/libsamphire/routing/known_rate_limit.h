#ifndef ROUTING_KNOWN_RATE_LIMIT_H_
#define ROUTING_KNOWN_RATE_LIMIT_H_

#include <optional>

#include "base/clock_source.h"

namespace samphire {

// What one entry knows of the rate limit of one target, in requests per second.
// Performs no I/O and takes the time as an argument. Not thread-safe.
class known_rate_limit {
 public:
  // Applies a response of the target to a request that was sent at `sent_at`.
  // Returns whether the limit began, ended or changed.
  bool OnResponse(std::optional<double> rate,
                  time_point sent_at,
                  time_point now);
  // Applies what a peer heard from the target at `heard_at`, unless this entry
  // knows something later.
  void OnReport(std::optional<double> rate, time_point heard_at);

  // Nothing while the target has no limit.
  const std::optional<double>& rate() const { return rate_; }
  // The arrival of the last response that named a limit or that ended it.
  time_point heard_at() const { return heard_at_; }

 private:
  std::optional<double> rate_;
  time_point heard_at_;
};

}  // namespace samphire

#endif  // ROUTING_KNOWN_RATE_LIMIT_H_
