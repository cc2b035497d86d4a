#include "gateway/peer_post.h"

#include "peer/peer_token.h"
#include "proxy/http_exchange.h"
#include "proxy/whole_body.h"

namespace samphire {

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
  byte_budget budget(post.max_response_bytes);
  auto body = ReadWholeBody(exchange, budget);
  if (!body && body.error().code != result_code::kPeerMalformed)
    return MakeError(result_code::kPeerTimeout,
                     "response body ended before it was complete");
  if (!body)
    return body.error();
  complete.body = std::move(body.value());
  return complete;
}

}  // namespace samphire
