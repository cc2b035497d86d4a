#ifndef ALLOWANCE_OWNER_ABSENCE_TRACKER_H_
#define ALLOWANCE_OWNER_ABSENCE_TRACKER_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "store/instance_info.h"

namespace samphire {

// Decides, from this entry's own reads of the platform's instance list, whether
// the owners of slot partitions are gone for good. Performs no I/O and reads no
// clock; not thread-safe.
class owner_absence_tracker {
 public:
  // `gone_after` is how long an owner must be absent without interruption.
  explicit owner_absence_tracker(duration gone_after)
      : gone_after_(gone_after) {}

  // Records one read of the list. `owners` are the owners in question; the
  // absence of any other instance is forgotten.
  void OnInstances(const std::vector<instance_info>& instances,
                   const std::vector<std::string>& owners,
                   time_point now);

  // Whether `owner` was missing from every read, the last one included, for at
  // least `gone_after`.
  bool IsGone(const std::string& owner) const;
  // Whether the last read listed `owner` in any state but gone.
  bool IsListed(const std::string& owner) const;

 private:
  // First and last consecutive read that lacked the owner.
  struct absence_span {
    time_point first;
    time_point last;
  };

  const duration gone_after_;
  std::map<std::string, absence_span> absent_;
  std::map<std::string, instance_info> listed_;
};

}  // namespace samphire

#endif  // ALLOWANCE_OWNER_ABSENCE_TRACKER_H_
