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

// How one entry of the host-and-path interface runs.
struct traffic_settings {
  entry_location place;
  std::string caller_address;
  std::string readiness_address;
  std::string lookup_address;
  std::string peer_address;
  std::string metrics_address;
  // Peer addresses to join the fleet by; they may be stale.
  std::vector<std::string> seeds;
  // Signs messages between entries; the same in the whole fleet.
  std::string peer_key;
  std::uint32_t max_connections = 1024;
  // Entries of the whole fleet, at the least. One that starts while it is cut
  // off from all others would else take itself for the only one.
  std::size_t least_fleet = 1;
  // News of an entry has reached its region by then, also after a crash of all
  // and with every fifth message lost. By a model over 240 fleets; at 3 s one
  // of them broke a bound.
  milliseconds settle_time{5000};
  // An entry that has just started knows few of its region, and each that it
  // does not know would be taken for missing: all would watch the platform.
  // Until then the listing of the start has to do, and what peers tell.
  milliseconds meeting_time{2000};
  // For this time after its start, an entry may not know the others of its
  // region and limits teams based on its own requests only.
  milliseconds startup_time{2500};
  // What placing leaves out, to measure what it is worth.
  mechanism_set without;
  traffic_bounds bounds;
};

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_SETTINGS_H_
