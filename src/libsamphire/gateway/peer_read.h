#ifndef GATEWAY_PEER_READ_H_
#define GATEWAY_PEER_READ_H_

#include <cstdint>
#include <string>

#include "base/clock_source.h"
#include "base/result.h"
#include "front/front_request.h"
#include "gateway/peer_signer.h"

namespace samphire {

// Reads the body of a call and verifies that a peer signed it for this entry,
// `own_address`. The body may have `limit` bytes at most and must be complete
// by `deadline`. Blocks until then; returns the error of the read or of the
// verification.
result<std::string> ReadPeerCall(front_request& request,
                                 peer_signer& signer,
                                 const std::string& own_address,
                                 std::uint64_t limit,
                                 time_point deadline);

}  // namespace samphire

#endif  // GATEWAY_PEER_READ_H_
