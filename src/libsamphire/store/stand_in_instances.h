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

// The stand-in platform's instance list, which shows each change only after a
// lag. The caller locks.
class stand_in_instances {
 public:
  static constexpr milliseconds kMaxLag{60'000};

  void Set(const instance_info& instance, time_point now);
  void Remove(const std::string& name, time_point now);
  void set_lag(milliseconds lag);

  std::vector<instance_info> VisibleAt(time_point now);

 private:
  struct change {
    time_point at;
    std::string name;
    // Empty: the instance is removed.
    std::optional<instance_info> instance;
  };

  milliseconds lag_{0};
  std::map<std::string, instance_info> visible_;
  std::deque<change> pending_;
};

}  // namespace samphire

#endif  // STORE_STAND_IN_INSTANCES_H_
