#ifndef STEERING_LIVE_ENTRY_H_
#define STEERING_LIVE_ENTRY_H_

#include <string>

namespace samphire {

// An entry as the fleet's members know it.
struct live_entry {
  std::string name;
  std::string caller_address;
  std::string region;
  bool leaving = false;
  // The share of what it can take that it takes, 0 to 1; it may lag.
  double load = 0;
};

}  // namespace samphire

#endif  // STEERING_LIVE_ENTRY_H_
