#include "routing/link_monitor.h"

#include <utility>

namespace samphire {

namespace {

// Targets that can't be reached, without any success, until the link to their
// failure domain is suspected; a single one is more likely down itself.
constexpr std::size_t kTargetsToSuspectDomain = 2;
// Failure domains with such targets until all links of this entry are
// suspected.
constexpr std::size_t kDomainsToSuspectLink = 2;
// Time for which a connection that was opened proves that the links work.
constexpr milliseconds kProofTime{500};
// A target is probed as long as requests for it come within this time.
constexpr duration kDoubtTime = std::chrono::seconds(10);
constexpr std::size_t kMaxDoubts = 4096;
// Interval between two probes of one target.
constexpr milliseconds kProbeInterval{500};

}  // namespace

link_monitor::link_monitor() : doubts_(kMaxDoubts, kDoubtTime) {}

target_path link_monitor::PathTo(const live_target& target, time_point now) {
  if (doubts_.size() == 0)
    return target_path::kDirect;
  if (doubts_.Find(target.id, now) != nullptr) {
    doubts_.Touch(target.id, now);
    return target_path::kRelayed;
  }
  if (!IsLinkSuspect(target, now))
    return target_path::kDirect;
  doubts_.Touch(target.id, now).target = target;
  return target_path::kRelayed;
}

bool link_monitor::IsLinkSuspect(const live_target& target, time_point now) {
  if (IsDomainSuspect(target.failure_domain, now))
    return true;
  const auto all = FailuresSince(connected_at_, nullptr, now);
  return all.domains.size() >= kDomainsToSuspectLink;
}

bool link_monitor::IsDomainSuspect(const std::string& domain, time_point now) {
  const auto connected = connected_at_by_domain_.find(domain);
  const auto since = connected == connected_at_by_domain_.end()
                         ? time_point{}
                         : connected->second;
  return FailuresSince(since, &domain, now).targets >= kTargetsToSuspectDomain;
}

link_monitor::failures link_monitor::FailuresSince(time_point since,
                                                   const std::string* domain,
                                                   time_point now) {
  failures found;
  doubts_.EvictExpired(now);
  doubts_.ForEach([&](const std::string&, const doubt& each) {
    const bool matches =
        domain == nullptr || each.target.failure_domain == *domain;
    if (!matches || !each.failed_at || *each.failed_at < since)
      return;
    ++found.targets;
    found.domains.insert(each.target.failure_domain);
  });
  return found;
}

bool link_monitor::IsDown(const live_target& target, time_point now) {
  const auto* known = doubts_.Find(target.id, now);
  return known != nullptr && known->failed_at &&
         connected_at_ + kProofTime >= *known->failed_at &&
         !IsLinkSuspect(target, now);
}

void link_monitor::OnConnected(const live_target& target, time_point now) {
  connected_at_ = now;
  connected_at_by_domain_[target.failure_domain] = now;
  doubts_.Erase(target.id);
}

void link_monitor::OnConnectFailed(const live_target& target,
                                   time_point started,
                                   time_point now) {
  auto& known = doubts_.Touch(target.id, now);
  known.target = target;
  known.failed_at = started;
  known.probed_at = now;
}

std::optional<live_target> link_monitor::NextProbe(time_point now) {
  doubts_.EvictExpired(now);
  doubt* next = nullptr;
  doubts_.ForEach([&](const std::string&, doubt& each) {
    if (each.probed_at && now - *each.probed_at < kProbeInterval)
      return;
    if (next == nullptr || each.probed_at < next->probed_at)
      next = &each;
  });
  if (next == nullptr)
    return std::nullopt;
  next->probed_at = now;
  return next->target;
}

std::size_t link_monitor::unreachable(time_point now) {
  return FailuresSince(time_point{}, nullptr, now).targets;
}

}  // namespace samphire
