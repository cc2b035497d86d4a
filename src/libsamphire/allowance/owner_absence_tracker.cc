#include "allowance/owner_absence_tracker.h"

namespace samphire {

// An entry claims partitions only while it is listed itself, so every owner was
// listed at some time, even if no entry that saw it is left. An owner that is
// missing now may be gone, or this read returned an older copy of the list from
// before the owner was added. One read is therefore not enough, and each read
// that lists the owner restarts the waiting time.
void owner_absence_tracker::OnInstances(
    const std::vector<instance_info>& instances,
    const std::vector<std::string>& owners,
    time_point now) {
  listed_.clear();
  for (const auto& instance : instances) {
    if (instance.state != instance_state::kGone)
      listed_.emplace(instance.name, instance);
  }
  std::map<std::string, absence_span> absent;
  for (const auto& owner : owners) {
    if (listed_.contains(owner))
      continue;
    const auto known = absent_.find(owner);
    absent[owner] = {known == absent_.end() ? now : known->second.first, now};
  }
  absent_ = std::move(absent);
}

bool owner_absence_tracker::IsGone(const std::string& owner) const {
  const auto found = absent_.find(owner);
  return found != absent_.end() &&
         found->second.last - found->second.first >= gone_after_;
}

bool owner_absence_tracker::IsListed(const std::string& owner) const {
  return listed_.contains(owner);
}

}  // namespace samphire
