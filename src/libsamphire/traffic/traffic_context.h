#ifndef TRAFFIC_TRAFFIC_CONTEXT_H_
#define TRAFFIC_TRAFFIC_CONTEXT_H_

#include "base/clock_source.h"
#include "gateway/fleet_quarantine.h"
#include "gateway/peer_signer.h"
#include "metrics/metrics.h"
#include "proxy/connection_pool.h"
#include "traffic/limits/target_limiter.h"
#include "traffic/limits/target_notices.h"
#include "traffic/limits/team_limiter.h"
#include "traffic/placing/placement_client.h"
#include "traffic/placing/service_shards.h"
#include "traffic/sending/target_links.h"
#include "traffic/traffic_headers.h"
#include "traffic/traffic_settings.h"
#include "traffic/traffic_state.h"

namespace samphire {

// The services of one entry that its request threads share. All of them are
// thread-safe and outlive every request.
struct traffic_context {
  const traffic_settings& settings;
  const traffic_headers& headers;
  traffic_state& state;
  service_shards& shards;
  // Requests placements from the owners of keys.
  placement_client& remote_placement;
  team_limiter& limiter;
  target_limiter& target_limits;
  target_notices& notices;
  fleet_quarantine& quarantine;
  target_links& links;
  peer_signer& signer;
  // Connections to targets and peers.
  connection_pool& pool;
  const clock_source& clock;
  samphire::metrics& counters;
};

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_CONTEXT_H_
