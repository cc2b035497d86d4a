#include "traffic/target_links.h"

#include <algorithm>

#include "base/log.h"

namespace samphire {

namespace {

// Time for which an entry that could not pass a request on is left alone.
constexpr milliseconds kRelayPause{1000};

}  // namespace

target_links::target_links(const clock_source& clock, metrics& counters)
    : clock_(clock), metrics_(counters) {}

target_path target_links::PathTo(const live_target& target) {
  std::lock_guard guard(lock_);
  return monitor_.PathTo(target, clock_.now());
}

bool target_links::IsLinkSuspect(const live_target& target) {
  std::lock_guard guard(lock_);
  return monitor_.IsLinkSuspect(target, clock_.now());
}

bool target_links::IsDown(const live_target& target) {
  std::lock_guard guard(lock_);
  return monitor_.IsDown(target, clock_.now());
}

void target_links::OnConnected(const live_target& target) {
  std::lock_guard guard(lock_);
  monitor_.OnConnected(target, clock_.now());
  LogChange(target);
}

void target_links::OnConnectFailed(const live_target& target,
                                   time_point started) {
  {
    std::lock_guard guard(lock_);
    monitor_.OnConnectFailed(target, started, clock_.now());
    LogChange(target);
  }
  if (on_unreachable)
    on_unreachable();
}

std::optional<live_target> target_links::NextProbe() {
  std::lock_guard guard(lock_);
  return monitor_.NextProbe(clock_.now());
}

std::size_t target_links::unreachable() {
  std::lock_guard guard(lock_);
  return monitor_.unreachable(clock_.now());
}

void target_links::OnRelayFailed(const std::string& address) {
  std::lock_guard guard(lock_);
  const auto now = clock_.now();
  std::erase_if(failed_relays_,
                [now](const auto& each) { return now >= each.second; });
  failed_relays_[address] = now + kRelayPause;
}

void target_links::PassOver(std::vector<std::string>& addresses) {
  std::lock_guard guard(lock_);
  const auto now = clock_.now();
  const auto failed = [&](const std::string& address) {
    const auto found = failed_relays_.find(address);
    return found != failed_relays_.end() && now < found->second;
  };
  if (!std::ranges::all_of(addresses, failed))
    std::erase_if(addresses, failed);
}

void target_links::LogChange(const live_target& target) {
  const auto now = clock_.now();
  const bool suspect = monitor_.IsLinkSuspect(target, now);
  if (suspect == suspect_)
    return;
  suspect_ = suspect;
  const auto unreachable = monitor_.unreachable(now);
  metrics_.Count("link_suspicions_total",
                 suspect ? "state=\"suspect\"" : "state=\"trusted\"");
  Log(log_level::kWarning, suspect ? "link-suspect" : "link-trusted",
      {{"target", target.id},
       {"failure_domain", target.failure_domain},
       {"unreachable", unreachable}});
}

}  // namespace samphire
