#ifndef TRAFFIC_TRAFFIC_CONTEXT_H_
#define TRAFFIC_TRAFFIC_CONTEXT_H_

#include "base/clock_source.h"
#include "metrics/metrics.h"
#include "proxy/connection_pool.h"
#include "traffic/placing_client.h"
#include "traffic/service_shards.h"
#include "traffic/team_limiter.h"
#include "traffic/traffic_headers.h"
#include "traffic/traffic_settings.h"
#include "traffic/traffic_state.h"

namespace samphire {

// What every request of one entry needs.
struct traffic_context {
  const traffic_settings& settings;
  const traffic_headers& headers;
  traffic_state& state;
  service_shards& shards;
  placing_client& placings;
  team_limiter& limiter;
  connection_pool& pool;
  const clock_source& clock;
  samphire::metrics& counters;
};

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_CONTEXT_H_
