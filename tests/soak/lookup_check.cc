#include "soak/lookup_check.h"

#include <fmt/format.h>

#include <algorithm>

namespace samphire {

lookup_check::lookup_check(milliseconds stable_window,
                           milliseconds unlisting_time)
    : stable_window_(stable_window), unlisting_time_(unlisting_time) {}

void lookup_check::OnStarted(const std::string& entry, time_point now) {
  std::lock_guard guard(lock_);
  entries_[entry] = {.running = true, .since = now, .undisturbed_since = now};
}

void lookup_check::OnEnded(const std::string& entry, time_point now) {
  std::lock_guard guard(lock_);
  if (entries_[entry].running)
    entries_[entry] = {
        .running = false, .since = now, .undisturbed_since = now};
}

void lookup_check::OnLeaving(const std::string& entry, time_point now) {
  std::lock_guard guard(lock_);
  entries_[entry].leaving = true;
  entries_[entry].undisturbed_since = now;
}

void lookup_check::OnDisturbed(const std::string& entry, time_point now) {
  std::lock_guard guard(lock_);
  entries_[entry].undisturbed_since = now;
}

bool lookup_check::IsLongOff(const presence& each, time_point sent) const {
  return !each.running && sent - each.since > unlisting_time_;
}

void lookup_check::OnAnswer(const std::string& asked,
                            const std::vector<std::string>& named,
                            time_point sent) {
  std::lock_guard guard(lock_);
  const auto& asker = entries_[asked];
  if (!asker.running || sent - asker.undisturbed_since < stable_window_)
    return;
  if (named.empty() && !asker.leaving)
    violations_.push_back(asked + " names nobody although it runs");
  const bool any_off = std::ranges::any_of(entries_, [&](const auto& entry) {
    return IsLongOff(entry.second, sent);
  });
  judged_ += any_off ? 1 : 0;
  for (const auto& name : named) {
    const auto found = entries_.find(name);
    if (found == entries_.end() || !IsLongOff(found->second, sent))
      continue;
    violations_.push_back(fmt::format(
        "{} names {}, {:.1f} s after its end", asked, name,
        std::chrono::duration<double>(sent - found->second.since).count()));
  }
}

std::vector<std::string> lookup_check::violations() const {
  std::lock_guard guard(lock_);
  return violations_;
}

int lookup_check::judged() const {
  std::lock_guard guard(lock_);
  return judged_;
}

}  // namespace samphire
