#ifndef GATEWAY_DEPLOYMENT_KEEPER_H_
#define GATEWAY_DEPLOYMENT_KEEPER_H_

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
// that drain, leave or are gone.
class deployment_keeper {
 public:
  deployment_keeper(node_state& state,
                    gate_set& gates,
                    const clock_source& clock,
                    metrics& counters);

  void OnImage(const image_ptr& image);
  void OnInstances(const std::vector<instance_info>& instances);
  // Looks again whether a drain has begun.
  void Tick();

 private:
  home_region_table_ptr BlocksOf(const config_image& image);
  void CloseTargets(const deployment& present);
  // Looks which of the targets that were closed have nothing running any more.
  void TimeDrains(const std::string& service, const service_gate& gate);

  node_state& state_;
  gate_set& gates_;
  const clock_source& clock_;
  metrics& metrics_;
  // Of the follower's thread alone: the last table and what it was built of.
  home_region_table_ptr blocks_;
  std::string blocks_ref_;
  std::mutex lock_;
  // "SERVICE.TARGET" of targets that the platform lists as leaving or gone.
  std::set<std::string> listed_closed_;
  std::map<std::string, std::set<std::string>> closed_;
  // Services whose gates have to be told anew.
  std::set<std::string> forgotten_;
  // Since when a closed target drains, by service and target.
  std::map<std::pair<std::string, std::string>, time_point> draining_;
};

}  // namespace samphire

#endif  // GATEWAY_DEPLOYMENT_KEEPER_H_
