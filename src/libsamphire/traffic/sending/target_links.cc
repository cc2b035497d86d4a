#include "traffic/sending/target_links.h"

#include <algorithm>

#include "base/log.h"

namespace samphire {

namespace {

// Time for which it counts whether another entry could pass a request on.
constexpr milliseconds kRelayMemory{3000};

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

void target_links::OnRelayed(const std::string& address, bool passed_on) {
  std::lock_guard guard(lock_);
  const auto now = clock_.now();
  std::erase_if(relays_, [now](const auto& each) {
    return now - each.second.at >= kRelayMemory;
  });
  relays_[address] = {passed_on, now};
}

// While most entries of a region are cut off, few of those asked at random
// could pass a request on.
void target_links::RankRelays(std::vector<std::string>& addresses) {
  std::lock_guard guard(lock_);
  const auto could_not = [this](const std::string& address) {
    const auto* known = Experience(address);
    return known != nullptr && !known->passed_on;
  };
  const auto could = [this](const std::string& address) {
    const auto* known = Experience(address);
    return known != nullptr && known->passed_on;
  };
  if (!std::ranges::all_of(addresses, could_not))
    std::erase_if(addresses, could_not);
  std::stable_partition(addresses.begin(), addresses.end(), could);
}

const target_links::relay_experience* target_links::Experience(
    const std::string& address) const {
  const auto found = relays_.find(address);
  const bool is_recent =
      found != relays_.end() && clock_.now() - found->second.at < kRelayMemory;
  return is_recent ? &found->second : nullptr;
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
