#include "allowance/seat_holder_watch.h"

namespace samphire {

// An entry claims seats only while the list shows itself, so a holder was
// listed once, also when nobody is left who saw it. What is missing now may be
// gone, or a reader got an older copy of the list from before it was added: so
// one look is not enough, and any look that shows it starts the wait anew.
void seat_holder_watch::OnInstances(const std::vector<instance_info>& instances,
                                    const std::vector<std::string>& holders,
                                    time_point now) {
  listed_.clear();
  for (const auto& instance : instances) {
    if (instance.state != instance_state::kGone)
      listed_.emplace(instance.name, instance);
  }
  std::map<std::string, absence> absent;
  for (const auto& holder : holders) {
    if (listed_.contains(holder))
      continue;
    const auto known = absent_.find(holder);
    absent[holder] = {known == absent_.end() ? now : known->second.first, now};
  }
  absent_ = std::move(absent);
}

bool seat_holder_watch::IsGone(const std::string& holder) const {
  const auto found = absent_.find(holder);
  return found != absent_.end() &&
         found->second.last - found->second.first >= gone_after_;
}

bool seat_holder_watch::IsListed(const std::string& holder) const {
  return listed_.contains(holder);
}

}  // namespace samphire
