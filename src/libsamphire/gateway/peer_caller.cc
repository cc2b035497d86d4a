#include "gateway/peer_caller.h"

#include <utility>

#include "gateway/peer_call_path.h"
#include "gateway/peer_post.h"

namespace samphire {

namespace {

// Bounds the wait for a response. A peer that doesn't respond within this time
// is treated as unreachable, and the follower asks the next one.
constexpr milliseconds kCallTimeout{1500};
}  // namespace

peer_caller::peer_caller(connection_pool& pool,
                         peer_signer& signer,
                         peer_list peers)
    : pool_(pool), signer_(signer), peers_(std::move(peers)) {}

std::vector<std::string> peer_caller::Peers() {
  return peers_();
}

result<peer_config> peer_caller::QueryConfig(const std::string& peer) {
  return CallFor<peer_config>(peer, config_status_request{});
}

result<config_update> peer_caller::Pull(const std::string& peer,
                                        std::uint64_t have_version) {
  return CallFor<config_update>(peer, config_update_request{have_version});
}

result<std::vector<std::string>> peer_caller::Chunks(
    const std::string& peer,
    const std::vector<std::string>& refs) {
  return CallFor<std::vector<std::string>>(peer, chunk_request{refs});
}

result<std::optional<instance_list>> peer_caller::Instances(
    const std::string& peer,
    const std::string& known) {
  return CallFor<std::optional<instance_list>>(peer,
                                               instance_list_request{known});
}

template <typename T>
result<T> peer_caller::CallFor(const std::string& peer, const peer_call& call) {
  BOOST_OUTCOME_TRY(bytes, Call(peer, call));
  auto value = DecodeBinary<T>(bytes);
  if (!value)
    return MakeError(result_code::kPeerMalformed);
  return *std::move(value);
}

result<std::string> peer_caller::Call(const std::string& peer,
                                      const peer_call& call) {
  BOOST_OUTCOME_TRY(response, PostToPeer(pool_, signer_, peer,
                                         {.path = kPeerCallPath,
                                          .body = EncodeBinary(call),
                                          .timeout = kCallTimeout}));
  return std::move(response.body);
}

}  // namespace samphire
