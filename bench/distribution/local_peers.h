#ifndef DISTRIBUTION_LOCAL_PEERS_H_
#define DISTRIBUTION_LOCAL_PEERS_H_

#include <cereal/archives/binary.hpp>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "distribution/config_follower.h"

namespace samphire {

// Peers within this process, called directly instead of over the network.
class local_peers final : public config_peer_source {
 public:
  std::map<std::string, config_follower*> entries;
  std::string nearest;
  // Encoded size of the last update that was pulled.
  double update_bytes = 0;

  std::vector<std::string> Peers() override {
    return nearest.empty() ? std::vector<std::string>()
                           : std::vector<std::string>{nearest};
  }
  result<peer_config> QueryConfig(const std::string& peer) override {
    return entries.at(peer)->AdvertisedConfig();
  }
  result<config_update> Pull(const std::string& peer,
                             std::uint64_t have) override {
    auto update = entries.at(peer)->cached_images().Pull(have);
    if (update) {
      std::ostringstream wire;
      cereal::BinaryOutputArchive archive(wire);
      archive(update.value());
      update_bytes = static_cast<double>(wire.str().size());
    }
    return update;
  }
  result<std::vector<std::string>> Chunks(
      const std::string& peer,
      const std::vector<std::string>& refs) override {
    return entries.at(peer)->cached_images().Chunks(refs);
  }
  result<std::optional<instance_list>> Instances(
      const std::string& /*peer*/,
      const std::string& /*known*/) override {
    return MakeError(result_code::kPeerUnreachable);
  }
};

}  // namespace samphire

#endif  // DISTRIBUTION_LOCAL_PEERS_H_
