#ifndef BASE_BACKOFF_LIST_H_
#define BASE_BACKOFF_LIST_H_

#include <map>
#include <mutex>
#include <string>

#include "base/clock_source.h"

namespace samphire {

// Names of peers and other remote endpoints that are not called for a while
// after a failure, so that the next call goes directly to one that works.
// Thread-safe.
class backoff_list {
 public:
  // Marks `name` as backing off until `until`, replacing any earlier time.
  void StartBackoff(const std::string& name, time_point until);
  // Lets `name` be called again.
  void EndBackoff(const std::string& name);
  // Returns whether `name` is backing off at `now`; removes it if its time has
  // passed.
  bool IsBackingOff(const std::string& name, time_point now);

 private:
  std::mutex lock_;
  std::map<std::string, time_point> until_;
};

}  // namespace samphire

#endif  // BASE_BACKOFF_LIST_H_
