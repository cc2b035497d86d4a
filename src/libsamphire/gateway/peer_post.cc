#include "gateway/peer_post.h"

#include <algorithm>
#include <array>

#include "base/body_time_limits.h"
#include "peer/peer_token.h"
#include "proxy/http_exchange.h"

namespace samphire {

namespace {

// Bounds what is read from the connection at once.
constexpr std::size_t kReadBufferBytes = 16384;

// Reads the body of a response to its end.
result<std::string> ReadWholeBody(http_exchange& exchange,
                                  std::size_t max_bytes) {
  std::string body;
  std::array<char, kReadBufferBytes> buffer;
  const auto deadline = std::chrono::steady_clock::now() + kMaxBodyTime;
  while (true) {
    exchange.SetDeadline(
        std::min(deadline, std::chrono::steady_clock::now() + kMaxBodyPause));
    const auto got = exchange.ReadBody(buffer);
    if (!got)
      return MakeError(result_code::kPeerTimeout,
                       "response body ended before it was complete");
    if (got.value() == 0)
      return body;
    body.append(buffer.data(), got.value());
    if (body.size() > max_bytes)
      return MakeError(result_code::kPeerMalformed,
                       "response body exceeds the size limit");
  }
}

}  // namespace

result<peer_response> PostToPeer(connection_pool& pool,
                                 peer_signer& signer,
                                 const std::string& peer,
                                 const peer_post& post) {
  Poco::Net::HTTPRequest head("POST", post.path, "HTTP/1.1");
  head.setHost(peer);
  head.setKeepAlive(true);
  head.setContentLength(static_cast<std::streamsize>(post.body.size()));
  if (!post.accept.empty())
    head.set("Accept", post.accept);
  head.set(kPeerTokenHeader, signer.Sign({.method = "POST",
                                          .request_target = post.path,
                                          .receiver_address = peer,
                                          .signed_content = post.body}));
  const caller_watch no_caller;
  http_exchange exchange(pool, peer, no_caller,
                         std::chrono::steady_clock::now() + post.timeout);
  if (!exchange.Connect(connection_use::kAny) ||
      !exchange.Send(head, post.body))
    return MakeError(result_code::kPeerUnreachable, peer);
  BOOST_OUTCOME_TRY(response, exchange.ReadHead());
  if (response->getStatus() != Poco::Net::HTTPResponse::HTTP_OK)
    return MakeError(result_code::kPeerDeclined, response->getReason());
  peer_response complete{.content_type = response->getContentType(),
                         .body = {}};
  BOOST_OUTCOME_TRY(body, ReadWholeBody(exchange, post.max_response_bytes));
  complete.body = std::move(body);
  return complete;
}

}  // namespace samphire
