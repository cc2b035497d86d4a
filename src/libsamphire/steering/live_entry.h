#ifndef STEERING_LIVE_ENTRY_H_
#define STEERING_LIVE_ENTRY_H_

#include <string>

namespace samphire {

// An entry of the fleet as known from membership, for look-ups.
struct live_entry {
  std::string name;
  // IP:PORT at which it takes callers' requests.
  std::string caller_address;
  std::string region;
  // It is about to stop and should get no new callers.
  bool leaving = false;
  // Share of its capacity that is in use, from 0 to 1, as last reported; may be
  // out of date.
  double load = 0;
};

}  // namespace samphire

#endif  // STEERING_LIVE_ENTRY_H_
