#include "store/stand_in_instances.h"

#include <algorithm>

namespace samphire {

void stand_in_instances::Set(const instance_info& instance, time_point now) {
  pending_.push_back({now, instance.name, instance});
}

void stand_in_instances::Remove(const std::string& name, time_point now) {
  pending_.push_back({now, name, std::nullopt});
}

void stand_in_instances::set_lag(milliseconds lag) {
  lag_ = std::clamp(lag, milliseconds(0), kMaxLag);
}

std::vector<instance_info> stand_in_instances::VisibleAt(time_point now) {
  while (!pending_.empty() && pending_.front().at + lag_ <= now) {
    auto& next = pending_.front();
    if (next.instance)
      visible_[next.name] = *next.instance;
    else
      visible_.erase(next.name);
    pending_.pop_front();
  }
  std::vector<instance_info> list;
  for (const auto& [name, instance] : visible_)
    list.push_back(instance);
  return list;
}

}  // namespace samphire
