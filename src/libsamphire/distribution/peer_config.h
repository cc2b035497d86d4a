#ifndef DISTRIBUTION_PEER_CONFIG_H_
#define DISTRIBUTION_PEER_CONFIG_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"

namespace samphire {

// What an entry announces to its peers about its configuration.
struct peer_config {
  // Version in force; 0 if there is none.
  std::uint64_t version = 0;
  // Digest of the root; empty if it wasn't announced.
  std::string digest;
  // How long ago it was last confirmed that no newer version was in force.
  // Without this age, two entries that are cut off together would confirm each
  // other forever.
  milliseconds confirmed_age{0};
};

}  // namespace samphire

#endif  // DISTRIBUTION_PEER_CONFIG_H_
