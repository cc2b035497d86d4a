#include "traffic/target_limiter.h"

#include "base/log.h"

namespace samphire {

target_limiter::target_limiter(const clock_source& clock, metrics& counters)
    : clock_(clock), metrics_(counters) {}

void target_limiter::OnSend(const live_target& target) {
  const bool limited = limits_.With(target.id, [&](auto& limits) {
    const auto found = limits.find(target.id);
    return found != limits.end() && found->second.rate();
  });
  if (limited)
    metrics_.Count("limited_target_attempts_total");
}

void target_limiter::OnResponse(const live_target& target,
                                const target_notice& notice,
                                time_point sent_at) {
  const bool changed = limits_.With(target.id, [&](auto& limits) {
    auto found = limits.find(target.id);
    if (found == limits.end()) {
      if (!notice.rate_limit)
        return false;
      found = limits.try_emplace(target.id).first;
    }
    return found->second.OnResponse(notice.rate_limit, sent_at, clock_.now());
  });
  if (!changed)
    return;
  constexpr double kNoLimit = -1;
  metrics_.Count("target_limit_changes_total");
  Log(log_level::kInfo, "target-limit",
      {{"service", target.service},
       {"target", target.id},
       {"rate", notice.rate_limit.value_or(kNoLimit)}});
}

}  // namespace samphire
