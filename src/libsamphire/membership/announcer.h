#ifndef MEMBERSHIP_ANNOUNCER_H_
#define MEMBERSHIP_ANNOUNCER_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock_source.h"

namespace samphire {

// Keeps which news on members this entry tells all others directly, since
// gossip would take seconds to reach the last of them: each a few times, as a
// message may be lost. Not thread-safe.
class announcer {
 public:
  // Announces the state of a member from `now` on.
  void Add(const std::string& name, time_point now);
  // Drops the announcements of a member.
  void Remove(const std::string& name) { announced_.erase(name); }
  // Returns the members whose state is to be sent to all at `now`.
  std::vector<std::string> TakeDue(time_point now);

 private:
  struct announcement {
    int sends_left = 0;
    time_point due;
  };
  std::map<std::string, announcement> announced_;
};

}  // namespace samphire

#endif  // MEMBERSHIP_ANNOUNCER_H_
