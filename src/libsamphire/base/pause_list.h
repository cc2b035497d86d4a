#ifndef BASE_PAUSE_LIST_H_
#define BASE_PAUSE_LIST_H_

#include <map>
#include <mutex>
#include <string>

#include "base/clock_source.h"

namespace samphire {

// Peers and other sources that are left alone for a while after they failed,
// by name, so that the next call goes to one that works at once. Thread-safe.
class pause_list {
 public:
  void Pause(const std::string& name, time_point until);
  bool IsPaused(const std::string& name, time_point now);

 private:
  std::mutex lock_;
  std::map<std::string, time_point> until_;
};

}  // namespace samphire

#endif  // BASE_PAUSE_LIST_H_
