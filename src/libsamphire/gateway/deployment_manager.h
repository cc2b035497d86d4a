#ifndef GATEWAY_DEPLOYMENT_MANAGER_H_
#define GATEWAY_DEPLOYMENT_MANAGER_H_

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock_source.h"
#include "distribution/config_image.h"
#include "gateway/gate_set.h"
#include "gateway/node_state.h"
#include "metrics/metrics.h"
#include "store/instance_info.h"

namespace samphire {

// Brings each configuration into force at this entry, and closes the targets
// that are draining, leaving or gone. OnImage may be called by the thread of
// the config_follower only, the other functions by any thread.
class deployment_manager {
 public:
  deployment_manager(node_state& state,
                     gate_set& gates,
                     const clock_source& clock,
                     metrics& counters);

  // Brings the configuration into force.
  void OnImage(const image_ptr& image);
  // Applies the platform's instance list: targets that it lists as leaving or
  // gone are closed.
  void OnInstances(const std::vector<instance_info>& instances);
  // Closes the targets of drains that have begun since the last call; called
  // periodically.
  void Tick();

 private:
  // Returns the table of the image's client blocks; builds it only if the
  // blocks differ from those of the last image.
  home_region_table_ptr BlockTableFor(const config_image& image);
  // Passes the targets that are closed now to the gates whose set of closed
  // targets has changed or been lost.
  void CloseTargets(const deployment& present);
  // Records the duration of the drains of those closed targets on which no work
  // is running any more. Called under the lock.
  void RecordFinishedDrains(const std::string& service,
                            const service_gate& gate);

  node_state& state_;
  gate_set& gates_;
  const clock_source& clock_;
  metrics& metrics_;
  // Used by the thread of the config_follower alone: the last table, and the
  // reference of the blocks that it was built from.
  home_region_table_ptr blocks_;
  std::string blocks_ref_;
  std::mutex lock_;
  // "SERVICE.TARGET" of the targets that the platform lists as leaving or gone.
  std::set<std::string> listed_unavailable_;
  // The closed targets that were last set at each service's gate.
  std::map<std::string, std::set<std::string>> closed_;
  // Services whose gates may have lost their closed targets through a new
  // configuration, so that they must be set again.
  std::set<std::string> stale_gates_;
  // Since when a closed target has been draining, by service and target.
  std::map<std::pair<std::string, std::string>, time_point> draining_;
};

}  // namespace samphire

#endif  // GATEWAY_DEPLOYMENT_MANAGER_H_
