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

// Calls the other entries on behalf of config_follower and instance_follower,
// with one request each. Thread-safe; calls block for a bounded time. Errors
// are those of PostToPeer, and kPeerMalformed for a response that can't be
// decoded.
class peer_caller final : public config_peer_source {
 public:
  // Returns the peer addresses of live entries, in the order in which they are
  // to be asked; called from any thread.
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
  // Sends a call and returns the encoded response.
  result<std::string> Call(const std::string& peer, const peer_call& call);
  // Sends a call and decodes the response as a T.
  template <typename T>
  result<T> CallFor(const std::string& peer, const peer_call& call);

  connection_pool& pool_;
  peer_signer& signer_;
  const peer_list peers_;
};

}  // namespace samphire

#endif  // GATEWAY_PEER_CALLER_H_
