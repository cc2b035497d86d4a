#ifndef DISTRIBUTION_PEER_CONFIG_H_
#define DISTRIBUTION_PEER_CONFIG_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"

namespace samphire {

// What an entry tells its peers of its configuration.
struct peer_config {
  // 0: it has none.
  std::uint64_t version = 0;
  // Empty if it was not told.
  std::string digest;
  // How long ago it was confirmed that nothing newer was in force. Without it
  // two entries cut off together would confirm each other for ever.
  milliseconds confirmed_age{0};
};

}  // namespace samphire

#endif  // DISTRIBUTION_PEER_CONFIG_H_
