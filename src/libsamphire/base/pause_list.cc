#include "base/pause_list.h"

namespace samphire {

void pause_list::Pause(const std::string& name, time_point until) {
  std::lock_guard guard(lock_);
  until_[name] = until;
}

bool pause_list::IsPaused(const std::string& name, time_point now) {
  std::lock_guard guard(lock_);
  const auto found = until_.find(name);
  if (found == until_.end())
    return false;
  if (now < found->second)
    return true;
  until_.erase(found);
  return false;
}

}  // namespace samphire
