#ifndef TRAFFIC_SENDING_TARGET_LINKS_H_
#define TRAFFIC_SENDING_TARGET_LINKS_H_

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/clock_source.h"
#include "metrics/metrics.h"
#include "routing/link_monitor.h"

namespace samphire {

// What the threads of one entry know of its links to targets, and of the
// entries through which it can reach them. Thread-safe.
class target_links {
 public:
  // `clock` and `counters` must outlive this object.
  target_links(const clock_source& clock, metrics& counters);

  // As the functions of link_monitor.
  target_path PathTo(const live_target& target);
  bool IsLinkSuspect(const live_target& target);
  bool IsDown(const live_target& target);
  void OnConnected(const live_target& target);
  void OnConnectFailed(const live_target& target, time_point started);
  std::optional<live_target> NextProbe();
  std::size_t unreachable();

  // Called when a target could not be reached, on the thread that tried. Must
  // be set before the first request, and must not block.
  std::function<void()> on_unreachable;

  // Reports whether the entry at a peer address could pass a request on.
  void OnRelayed(const std::string& address, bool passed_on);
  // Removes the entries that could not lately, unless that are all, and puts
  // first those that could.
  void RankRelays(std::vector<std::string>& addresses);

 private:
  struct relay_experience {
    bool passed_on = false;
    time_point at;
  };
  // Returns what is known of the entry; null if that is too long ago. The lock
  // must be held.
  const relay_experience* Experience(const std::string& address) const;
  // Logs when the links of this entry come under suspicion or out of it. The
  // lock must be held.
  void LogChange(const live_target& target);

  const clock_source& clock_;
  metrics& metrics_;
  std::mutex lock_;
  link_monitor monitor_;
  bool suspect_ = false;
  std::map<std::string, relay_experience> relays_;
};

}  // namespace samphire

#endif  // TRAFFIC_SENDING_TARGET_LINKS_H_
