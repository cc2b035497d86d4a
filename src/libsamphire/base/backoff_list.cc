#include "base/backoff_list.h"

namespace samphire {

void backoff_list::StartBackoff(const std::string& name, time_point until) {
  std::lock_guard guard(lock_);
  until_[name] = until;
}

void backoff_list::EndBackoff(const std::string& name) {
  std::lock_guard guard(lock_);
  until_.erase(name);
}

bool backoff_list::IsBackingOff(const std::string& name, time_point now) {
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
