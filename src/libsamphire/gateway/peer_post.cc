#include "gateway/peer_post.h"

#include <array>

#include "peer/peer_token.h"
#include "proxy/http_exchange.h"

namespace samphire {

namespace {

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

result<std::string> PostToPeer(connection_pool& pool,
                               peer_signer& signer,
                               const std::string& peer,
                               const std::string& path,
                               const std::string& body,
                               milliseconds timeout) {
  Poco::Net::HTTPRequest head("POST", path, "HTTP/1.1");
  head.setHost(peer);
  head.setKeepAlive(true);
  head.setContentLength(static_cast<std::streamsize>(body.size()));
  head.set(kPeerTokenHeader, signer.Sign({.method = "POST",
                                          .request_target = path,
                                          .receiver_address = peer,
                                          .signed_content = body}));
  const caller_watch nobody;
  http_exchange exchange(pool, peer, nobody,
                         std::chrono::steady_clock::now() + timeout);
  if (!exchange.Connect(false) || !exchange.Send(head, body))
    return MakeError(result_code::kPeerUnreachable, peer);
  BOOST_OUTCOME_TRY(answer, exchange.ReadHead());
  if (answer->getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
    return MakeError(result_code::kPeerDeclined, answer->getReason());
  return ReadWhole(exchange);
}

}  // namespace samphire
