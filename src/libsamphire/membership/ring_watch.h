#ifndef MEMBERSHIP_RING_WATCH_H_
#define MEMBERSHIP_RING_WATCH_H_

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "membership/membership_options.h"
#include "membership/membership_table.h"

namespace samphire {

// Decides which members an entry watches. All members form a ring, in the order
// of a hash of their names. In each interval an entry pings the member after
// it. While none of those that it has pinged responds, it goes on to the next
// ones, four times as many in each step. So each member that ends is pinged by
// the closest running one before it, however many end at once. Does no I/O and
// reads no clock. Not thread-safe.
class ring_watch {
 public:
  ring_watch(const membership_options& options, time_point first_sweep);

  // Returns the members to ping at `now`. Those in `doubtful` have not
  // responded to other probes of this entry, and are passed over.
  std::vector<std::string> Tick(const membership_table& table,
                                const std::set<std::string>& doubtful,
                                time_point now);
  // Tells that a message of a member has arrived.
  void OnHeard(const std::string& name);
  // Starts anew, as after a pause of this process.
  void Reset(time_point now);

 private:
  void StartSweep(const membership_table& table,
                  const std::set<std::string>& doubtful);
  std::vector<std::string> NextStep(time_point now);

  const membership_options options_;
  time_point next_sweep_;
  time_point next_step_;
  // Members that are still to be pinged in this sweep, the next one last.
  std::vector<std::string> remaining_;
  // Members that were pinged in this sweep.
  std::set<std::string> pinged_;
  std::size_t step_size_ = 1;
  // Whether nobody has responded in this sweep.
  bool sweeping_ = false;
};

}  // namespace samphire

#endif  // MEMBERSHIP_RING_WATCH_H_
