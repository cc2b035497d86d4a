#ifndef TRAFFIC_TRAFFIC_SETTINGS_H_
#define TRAFFIC_TRAFFIC_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "routing/entry_location.h"
#include "routing/mechanism_set.h"
#include "traffic/traffic_bounds.h"

namespace samphire {

// Settings of one entry that serves requests by host and path. Fixed while the
// entry runs, except for `bounds`, which are the initial ones. Addresses have
// the form HOST:PORT.
struct traffic_settings {
  // This entry's instance, failure domain and region.
  entry_location place;
  // Serves the requests of callers.
  std::string caller_address;
  // Serves the platform's readiness checks and its look-ups of entries.
  std::string readiness_address;
  std::string lookup_address;
  // Serves other entries.
  std::string peer_address;
  // Serves metrics in the Prometheus text format.
  std::string metrics_address;
  // Peer addresses through which to join the fleet; some may be outdated.
  std::vector<std::string> seeds;
  // Secret key that signs messages between entries; the same in the whole
  // fleet.
  std::string peer_key;
  // Upper bound on open connections of callers.
  std::uint32_t max_connections = 1024;
  // Lower bound on the number of entries in the whole fleet. Without it, an
  // entry that starts while partitioned from all others would assume to be the
  // only one and use the whole of each limit.
  std::size_t min_fleet_size = 1;
  // Time after its start by which gossip about an entry has reached its region,
  // even after a crash of all entries and with every fifth message lost. In
  // simulations of 240 fleets, 3 s let one of them exceed a limit.
  milliseconds settle_time{5000};
  // Time after the end of an entry after which look-ups may no longer name it;
  // from the platform's window of stable links.
  milliseconds unlisting_time{6000};
  // Whether the whole fleet starts for the first time, so that no process ran
  // before this one.
  bool is_first_start = false;
  // Time after its start in which an entry discovers its region. An entry that
  // knows few members yet would act as a watcher, and all entries that start at
  // the same time would watch the platform. Until then an entry relies on one
  // listing of the platform and on changes from peers.
  milliseconds discovery_time{2000};
  // For this time after its start, an entry may not know the others of its
  // region and limits teams based on its own requests only.
  milliseconds startup_time{2500};
  // Whether each process of a target has an id of its own, so that a response
  // under an id proves that the process has not restarted.
  bool has_process_ids = false;
  // Mechanisms that placement leaves out, to measure their benefit.
  mechanism_set disabled_mechanisms;
  traffic_bounds bounds;
};

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_SETTINGS_H_
