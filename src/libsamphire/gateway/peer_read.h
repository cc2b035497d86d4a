#ifndef GATEWAY_PEER_READ_H_
#define GATEWAY_PEER_READ_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "base/result.h"
#include "front/front_request.h"
#include "gateway/peer_signer.h"

namespace samphire {

// The body of a call that a peer has signed for this entry, at most `limit`
// bytes and whole by `deadline`.
result<std::string> ReadPeerCall(front_request& request,
                                 peer_signer& signer,
                                 const std::string& own_address,
                                 std::uint64_t limit,
                                 time_point deadline);

}  // namespace samphire

#endif  // GATEWAY_PEER_READ_H_
