#include "traffic/traffic_state.h"

#include <utility>

namespace samphire {

bool traffic_state::SetManifest(const manifest_ptr& manifest) {
  std::lock_guard guard(lock_);
  const auto current = manifest_.Get();
  if (current && manifest->version() <= current->version())
    return false;
  manifest_.Replace(manifest);
  return true;
}

void traffic_state::SetTargets(std::vector<live_target> targets,
                               store_cursor listing) {
  std::lock_guard guard(lock_);
  listed_targets_ = std::move(targets);
  listing_ = listing;
  targets_known_ = true;
  PublishTargets();
}

void traffic_state::SetEvacuatedDomains(std::set<std::string> domains) {
  std::lock_guard guard(lock_);
  evacuated_domains_ = std::move(domains);
  evacuations_known_ = true;
  PublishTargets();
}

void traffic_state::SetBounds(const traffic_bounds& bounds) {
  bounds_.Replace(new traffic_bounds(bounds));
}

// Without the evacuations, no target is known to be open.
void traffic_state::PublishTargets() {
  if (targets_known_ && evacuations_known_)
    targets_.Replace(target_set_ptr(
        new target_set(listed_targets_, evacuated_domains_, listing_)));
}

bool traffic_state::IsReady() const {
  return !stop.begun() && manifest() && targets();
}

}  // namespace samphire
