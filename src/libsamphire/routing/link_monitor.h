#ifndef ROUTING_LINK_MONITOR_H_
#define ROUTING_LINK_MONITOR_H_

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "base/clock_source.h"
#include "decision/expiring_lru_map.h"
#include "routing/live_target.h"
#include "routing/target_path.h"

namespace samphire {

// Distinguishes a fault of this entry's own links from faults of targets, based
// on the connections that this entry opens to targets. Only a new connection is
// evidence: old ones may live on while new ones are refused, or hang unnoticed.
// Performs no I/O and takes the time as an argument. Not thread-safe.
class link_monitor {
 public:
  link_monitor();

  // Returns how the next attempt should reach the target. A target that is
  // reached through other entries is probed from then on.
  target_path PathTo(const live_target& target, time_point now);
  // Whether the target can't be reached, and neither can others that it shares
  // its failure domain with, or targets of several failure domains. This
  // entry's failures to connect are then no evidence against targets.
  bool IsLinkSuspect(const live_target& target, time_point now);

  // Whether the target is down as far as this entry can tell: the last new
  // connection to it was not opened, and one to another target was, at about
  // that time or since.
  bool IsDown(const live_target& target, time_point now);

  // Reports that a new connection to the target was opened.
  void OnConnected(const live_target& target, time_point now);
  // Reports that a new connection for a request, begun at `started`, was not
  // opened. Probes that fail are not reported: they only show that a target is
  // still down, and would keep others under suspicion.
  void OnConnectFailed(const live_target& target,
                       time_point started,
                       time_point now);

  // Returns the target that should be probed next with a new connection;
  // nothing if no target needs it now.
  std::optional<live_target> NextProbe(time_point now);

  // Number of targets that this entry could not connect to recently.
  std::size_t unreachable(time_point now);

 private:
  struct doubt {
    live_target target;
    // When the last connection that failed was begun; nothing if none was
    // opened, since others of the failure domain can't be reached.
    std::optional<time_point> failed_at;
    std::optional<time_point> probed_at;
  };

  // Targets that could not be reached, and their failure domains.
  struct failures {
    std::size_t targets = 0;
    std::set<std::string> domains;
  };
  // Returns those whose last attempt to connect began at `since` or later; only
  // of one failure domain if `domain` is not null.
  failures FailuresSince(time_point since,
                         const std::string* domain,
                         time_point now);
  bool IsDomainSuspect(const std::string& domain, time_point now);

  expiring_lru_map<std::string, doubt> doubts_;
  // The last time a new connection was opened, to any target and by failure
  // domain.
  time_point connected_at_;
  std::unordered_map<std::string, time_point> connected_at_by_domain_;
};

}  // namespace samphire

#endif  // ROUTING_LINK_MONITOR_H_
