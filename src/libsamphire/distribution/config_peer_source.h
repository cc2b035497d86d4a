#ifndef DISTRIBUTION_CONFIG_PEER_SOURCE_H_
#define DISTRIBUTION_CONFIG_PEER_SOURCE_H_

#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "distribution/config_update.h"
#include "distribution/instance_list.h"
#include "distribution/peer_config.h"

namespace samphire {

// Queries other entries for configuration data. The followers call it from
// several threads at once. Implementations bound the time for which a call
// blocks; a failed call returns the error of the transport or of the peer.
class config_peer_source {
 public:
  virtual ~config_peer_source() = default;

  // Names of the live entries, the nearest first.
  virtual std::vector<std::string> Peers() = 0;
  // Returns the version that the peer has in force.
  virtual result<peer_config> QueryConfig(const std::string& peer) = 0;
  // Returns the update from `have_version` (0: none) to the peer's version.
  virtual result<config_update> Pull(const std::string& peer,
                                     std::uint64_t have_version) = 0;
  // Returns the texts of chunks, in the order of `refs`.
  virtual result<std::vector<std::string>> Chunks(
      const std::string& peer,
      const std::vector<std::string>& refs) = 0;
  // Returns the peer's instance list, or no value if its digest is `known`.
  virtual result<std::optional<instance_list>> Instances(
      const std::string& peer,
      const std::string& known) = 0;
};

}  // namespace samphire

#endif  // DISTRIBUTION_CONFIG_PEER_SOURCE_H_
