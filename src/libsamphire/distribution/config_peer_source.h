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

// The other entries, as a follower asks them. Calls block for a bounded time.
class config_peer_source {
 public:
  virtual ~config_peer_source() = default;

  // Live entries, the nearest first.
  virtual std::vector<std::string> Peers() = 0;
  virtual result<peer_config> Ask(const std::string& peer) = 0;
  // The update from what the asker has to what the peer has.
  virtual result<config_update> Pull(const std::string& peer,
                                     std::uint64_t have_version) = 0;
  // The texts of chunks, in the order asked.
  virtual result<std::vector<std::string>> Chunks(
      const std::string& peer,
      const std::vector<std::string>& refs) = 0;
  // Nothing if the peer's list has the digest `known`.
  virtual result<std::optional<instance_list>> Instances(
      const std::string& peer,
      const std::string& known) = 0;
};

}  // namespace samphire

#endif  // DISTRIBUTION_CONFIG_PEER_SOURCE_H_
