#include "gateway/peer_caller.h"

#include <array>
#include <utility>

#include "gateway/peer_call_path.h"
#include "proxy/http_exchange.h"

namespace samphire {

namespace {

// A peer that does not answer by then is as good as gone: the follower asks
// the next.
constexpr milliseconds kCallTimeout{1500};
// The whole of the largest declaration, with room.
constexpr std::size_t kMaxAnswerBytes = std::size_t{256} << 20U;
constexpr std::size_t kPieceBytes = 16384;

result<std::string> ReadWhole(http_exchange& exchange) {
  std::string body;
  std::array<char, kPieceBytes> piece;
  while (true) {
    const auto got = exchange.ReadBody(piece);
    if (!got)
      return MakeError(result_code::kPeerTimeout, "the answer broke off");
    if (got.value() == 0)
      return body;
    body.append(piece.data(), got.value());
    if (body.size() > kMaxAnswerBytes)
      return MakeError(result_code::kPeerMalformed, "the answer is too long");
  }
}

}  // namespace

peer_caller::peer_caller(connection_pool& pool,
                         peer_signer& signer,
                         peer_list peers)
    : pool_(pool), signer_(signer), peers_(std::move(peers)) {}

std::vector<std::string> peer_caller::Peers() {
  return peers_();
}

result<peer_config> peer_caller::Ask(const std::string& peer) {
  return CallFor<peer_config>(peer, config_ask{});
}

result<config_update> peer_caller::Pull(const std::string& peer,
                                        std::uint64_t have_version) {
  return CallFor<config_update>(peer, config_pull{have_version});
}

result<std::vector<std::string>> peer_caller::Chunks(
    const std::string& peer,
    const std::vector<std::string>& refs) {
  return CallFor<std::vector<std::string>>(peer, chunk_ask{refs});
}

result<std::optional<instance_list>> peer_caller::Instances(
    const std::string& peer,
    const std::string& known) {
  return CallFor<std::optional<instance_list>>(peer, instances_ask{known});
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
  const auto body = EncodeBinary(call);
  Poco::Net::HTTPRequest head("POST", kPeerCallPath, "HTTP/1.1");
  head.setHost(peer);
  head.setKeepAlive(true);
  head.setContentLength(static_cast<std::streamsize>(body.size()));
  head.set(kPeerTokenHeader, signer_.Sign({.method = "POST",
                                           .target = kPeerCallPath,
                                           .receiver = peer,
                                           .content = body}));
  const caller_watch nobody;
  http_exchange exchange(pool_, peer, nobody,
                         std::chrono::steady_clock::now() + kCallTimeout);
  if (!exchange.Connect(false) || !exchange.Send(head, body))
    return MakeError(result_code::kPeerUnreachable, peer);
  BOOST_OUTCOME_TRY(answer, exchange.ReadHead());
  if (answer->getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
    return MakeError(result_code::kPeerUnreachable, answer->getReason());
  return ReadWhole(exchange);
}

}  // namespace samphire
