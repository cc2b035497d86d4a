#ifndef TRAFFIC_TRAFFIC_SETTINGS_H_
#define TRAFFIC_TRAFFIC_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "routing/entry_place.h"
#include "traffic/traffic_bounds.h"

namespace samphire {

// How one entry of the host-and-path interface runs.
struct traffic_settings {
  entry_place place;
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
  traffic_bounds bounds;
};

}  // namespace samphire

#endif  // TRAFFIC_TRAFFIC_SETTINGS_H_
