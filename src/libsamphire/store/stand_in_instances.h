#ifndef STORE_STAND_IN_INSTANCES_H_
#define STORE_STAND_IN_INSTANCES_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "store/instance_info.h"

namespace samphire {

// The stand-in platform's instance list, in which each change becomes visible
// only after a lag. Not thread-safe; the caller locks.
class stand_in_instances {
 public:
  // Upper bound on the lag; set_lag limits its argument to it.
  static constexpr milliseconds kMaxLag{60'000};

  // Adds or replaces the instance of that name.
  void Set(const instance_info& instance, time_point now);
  void Remove(const std::string& name, time_point now);
  void set_lag(milliseconds lag);

  // Applies the changes whose lag has passed and returns the visible list.
  std::vector<instance_info> VisibleAt(time_point now);

 private:
  struct change {
    time_point at;
    std::string name;
    // Empty if the instance is removed.
    std::optional<instance_info> instance;
  };

  milliseconds lag_{0};
  // By name.
  std::map<std::string, instance_info> visible_;
  // Changes that are not visible yet, oldest first.
  std::deque<change> pending_;
};

}  // namespace samphire

#endif  // STORE_STAND_IN_INSTANCES_H_
