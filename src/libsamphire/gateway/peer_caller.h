#ifndef GATEWAY_PEER_CALLER_H_
#define GATEWAY_PEER_CALLER_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "distribution/config_peer_source.h"
#include "gateway/peer_call.h"
#include "gateway/peer_signer.h"
#include "proxy/connection_pool.h"

namespace samphire {

// The other entries, as a follower of the configuration asks them.
class peer_caller final : public config_peer_source {
 public:
  // Peer addresses of live entries, the nearest first.
  using peer_list = std::function<std::vector<std::string>()>;

  peer_caller(connection_pool& pool, peer_signer& signer, peer_list peers);

  std::vector<std::string> Peers() override;
  result<peer_config> QueryConfig(const std::string& peer) override;
  result<config_update> Pull(const std::string& peer,
                             std::uint64_t have_version) override;
  result<std::vector<std::string>> Chunks(
      const std::string& peer,
      const std::vector<std::string>& refs) override;
  result<std::optional<instance_list>> Instances(
      const std::string& peer,
      const std::string& known) override;

 private:
  result<std::string> Call(const std::string& peer, const peer_call& call);
  template <typename T>
  result<T> CallFor(const std::string& peer, const peer_call& call);

  connection_pool& pool_;
  peer_signer& signer_;
  const peer_list peers_;
};

}  // namespace samphire

#endif  // GATEWAY_PEER_CALLER_H_
