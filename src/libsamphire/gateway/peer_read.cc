#include "gateway/peer_read.h"

#include "peer/peer_token.h"

namespace samphire {

result<std::string> ReadPeerCall(front_request& request,
                                 peer_signer& signer,
                                 const std::string& own_address,
                                 std::uint64_t limit,
                                 time_point deadline) {
  BOOST_OUTCOME_TRY(body, request.ReadBody(limit, deadline));
  BOOST_OUTCOME_TRYV(signer.Verify({.method = request.getMethod(),
                                    .request_target = request.getURI(),
                                    .receiver_address = own_address,
                                    .signed_content = body},
                                   request.get(kPeerTokenHeader, "")));
  return body;
}

}  // namespace samphire
