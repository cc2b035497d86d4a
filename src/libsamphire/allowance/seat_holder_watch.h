#ifndef ALLOWANCE_SEAT_HOLDER_WATCH_H_
#define ALLOWANCE_SEAT_HOLDER_WATCH_H_

#include <map>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "store/instance_info.h"

namespace samphire {

// Judges from this entry's own reads of the platform's list whether holders of
// seats are gone for good. Pure.
class seat_holder_watch {
 public:
  explicit seat_holder_watch(duration gone_after) : gone_after_(gone_after) {}

  // A read of the list, with the holders that are in question.
  void OnInstances(const std::vector<instance_info>& instances,
                   const std::vector<std::string>& holders,
                   time_point now);

  // Whether every read for long enough, the last one included, lacked it.
  bool IsGone(const std::string& holder) const;
  // Whether the last read showed it.
  bool IsListed(const std::string& holder) const;

 private:
  struct absence {
    time_point first;
    time_point last;
  };

  const duration gone_after_;
  std::map<std::string, absence> absent_;
  std::map<std::string, instance_info> listed_;
};

}  // namespace samphire

#endif  // ALLOWANCE_SEAT_HOLDER_WATCH_H_
