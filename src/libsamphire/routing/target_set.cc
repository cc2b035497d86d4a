#include "routing/target_set.h"

#include <algorithm>
#include <utility>

namespace samphire {

target_set::target_set(std::vector<live_target> targets,
                       std::set<std::string> evacuated_domains,
                       store_cursor listing)
    : evacuated_domains_(std::move(evacuated_domains)),
      listing_(listing),
      size_(targets.size()) {
  for (auto& target : targets) {
    target.listing = listing;
    by_service_[target.service].push_back(std::move(target));
  }
}

const std::vector<live_target>& target_set::OfService(
    std::string_view service) const {
  static const std::vector<live_target> none;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? none : found->second;
}

std::size_t target_set::open_count() const {
  std::size_t open = 0;
  for (const auto& [service, targets] : by_service_) {
    open += static_cast<std::size_t>(
        std::count_if(targets.begin(), targets.end(),
                      [this](const auto& target) { return IsOpen(target); }));
  }
  return open;
}

bool target_set::IsOpen(const live_target& target) const {
  return !target.draining &&
         !evacuated_domains_.contains(target.failure_domain);
}

}  // namespace samphire
